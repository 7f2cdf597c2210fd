package origin

// Source states where the software version of a stream is known from.
type Source string

// Sources of the software version of a stream.
const (
	Own      Source = "Own"      // this entry began the stream
	Sole     Source = "Sole"     // the service has only one version
	Leader   Source = "Leader"   // the leader is to be asked, or has answered
	Unstated Source = "Unstated" // the leader states no versions
)

// Knowledge is what an entry knows when a caller continues a stream at a service.
type Knowledge struct {
	Service   string
	Recorded  *Software // the version that began the stream, nil if that is not recorded here
	Versions  []string  // that may have begun streams of the service, by the last list of a leader
	Current   bool      // the list is young enough to be relied on
	Endpoints bool      // the leader has listed endpoints
}

// Decide returns the software version at which a stream goes on, as far as the entry knows. It is nil if the leader has to be asked, or if the leader
// does not follow versions.
func (k Knowledge) Decide() (s *Software, source Source) {
	switch {
	case k.Recorded != nil:
		return k.Recorded, Own
	case len(k.Versions) == 0 && k.Endpoints:
		return nil, Unstated
	case len(k.Versions) == 1 && k.Current:
		return &Software{Service: k.Service, Version: k.Versions[0]}, Sole
	}
	return nil, Leader
}

// DecideByReply returns the software version at which a stream goes on by the answer of a leader, or nil if nobody knows it.
func DecideByReply(service string, recorded *Software, versions []string) *Software {
	switch {
	case recorded != nil:
		return recorded
	case len(versions) == 1:
		return &Software{Service: service, Version: versions[0]}
	}
	return nil
}
