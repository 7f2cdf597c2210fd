package directory

import "time"

// removedEntry holds the properties of a removed entry that later announcements must not contradict.
type removedEntry struct {
	incarnation uint64
	fence       uint64
	noWorkAfter time.Time // zero unless the incarnation was leaving
	until       time.Time
}

// removedEntries remembers removed entries, so that a delayed message cannot restore them.
type removedEntries struct {
	limit   int
	entries map[string]removedEntry
}

func newRemovedEntries(limit int) removedEntries {
	return removedEntries{limit: limit, entries: map[string]removedEntry{}}
}

// add remembers a removed entry. At the limit, it replaces the entry that would expire next.
func (m *removedEntries) add(name string, p removedEntry) {
	if _, known := m.entries[name]; !known && len(m.entries) >= m.limit {
		m.evict()
	}
	m.entries[name] = p
}

func (m *removedEntries) evict() {
	var victim string
	var first removedEntry
	for name, p := range m.entries {
		earlier := p.until.Before(first.until) || (p.until.Equal(first.until) && name < victim)
		if victim == "" || earlier {
			victim, first = name, p
		}
	}
	delete(m.entries, victim)
}

func (m *removedEntries) expire(now time.Time) {
	for name, p := range m.entries {
		if !now.Before(p.until) {
			delete(m.entries, name)
		}
	}
}
