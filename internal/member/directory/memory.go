package directory

import "time"

// past is what must not be contradicted after an entry was removed.
type past struct {
	incarnation uint64
	fence       uint64
	noWorkAfter time.Time // zero unless the incarnation was leaving
	until       time.Time
}

// memory holds the past of removed entries, so that a delayed message cannot bring them back.
type memory struct {
	limit   int
	entries map[string]past
}

func newMemory(limit int) memory {
	return memory{limit: limit, entries: map[string]past{}}
}

// put remembers a removed entry; at the limit, the entry that would be forgotten next makes room.
func (m *memory) put(name string, p past) {
	if _, known := m.entries[name]; !known && len(m.entries) >= m.limit {
		m.evict()
	}
	m.entries[name] = p
}

func (m *memory) evict() {
	var victim string
	var first past
	for name, p := range m.entries {
		earlier := p.until.Before(first.until) || (p.until.Equal(first.until) && name < victim)
		if victim == "" || earlier {
			victim, first = name, p
		}
	}
	delete(m.entries, victim)
}

func (m *memory) expire(now time.Time) {
	for name, p := range m.entries {
		if !now.Before(p.until) {
			delete(m.entries, name)
		}
	}
}
