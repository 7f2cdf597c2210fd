package residency

// Event is a change of the placement, which entries apply to their view.
type Event struct {
	_ struct{} `cbor:",toarray"`

	Endpoint string  `json:"E"`
	Holding  Holding `json:"H"`
	Removed  bool    `json:"G,omitempty"`
}

// journalLength covers several seconds of changes on the largest deployment.
const journalLength = 4096

// journal is a ring buffer of the latest events.
type journal struct {
	next   uint64 // number of the next event
	events []Event
}

func newJournal() journal { return journal{next: 1, events: make([]Event, 0, journalLength)} }

func (j *journal) add(e Event) {
	if len(j.events) < journalLength {
		j.events = append(j.events, e)
	} else {
		j.events[(j.next-1)%journalLength] = e
	}
	j.next++
}

// Since returns the events from the given number on and the number of the next event. It reports lost if some of the
// events are no longer kept.
func (p *Placer) Since(number uint64) (events []Event, next uint64, lost bool) {
	j := &p.journal
	if number == 0 || number > j.next || j.next-number > uint64(len(j.events)) {
		return nil, j.next, true
	}
	for n := number; n < j.next; n++ {
		events = append(events, j.events[(n-1)%journalLength])
	}
	return events, j.next, false
}

// Snapshot returns one event for each resident adapter of the current version.
func (p *Placer) Snapshot() (events []Event) {
	for _, e := range p.ordered {
		for _, pl := range e.places {
			if pl.state == Resident && p.current(pl.holding) {
				events = append(events, Event{Endpoint: e.ID, Holding: pl.holding})
			}
		}
	}
	return events
}
