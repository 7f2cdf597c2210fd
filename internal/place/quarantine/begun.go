package quarantine

import "time"

// HasBegun reports whether a request with the signature has begun here, as far as it is remembered.
func (t *Tracker) HasBegun(service, id string) bool {
	_, known := t.lastBegin(NewSignature(service, id))
	return known
}

// LastBegin returns when an exact request or a target last began here, as far as it is remembered, or the zero time.
func (t *Tracker) LastBegin(id string) time.Time {
	at, _ := t.lastBegin(NewSignature("", id))
	return at
}
