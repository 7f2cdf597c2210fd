package quarantine

// HasBegun reports whether a request with the signature has begun here, as far as it is remembered.
func (t *Tracker) HasBegun(service, id string) bool {
	_, known := t.lastBegin(NewSignature(service, id))
	return known
}
