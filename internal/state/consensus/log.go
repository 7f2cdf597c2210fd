package consensus

import (
	"encoding/json"
	"slices"
)

// entryLog holds the entries after the snapshot and the configurations found in them.
type entryLog struct {
	snapshot Snapshot // without Data
	entries  []Entry
	configs  []indexedConfig
}

type indexedConfig struct {
	index  uint64
	config Config
}

func newLog(snapshot Snapshot, entries []Entry) (*entryLog, error) {
	snapshot.Data = nil
	l := &entryLog{snapshot: snapshot}
	for _, e := range entries {
		if e.Index != l.last()+1 {
			return nil, Error.New("entry %d follows entry %d", e.Index, l.last())
		}
		if err := l.add(e); err != nil {
			return nil, err
		}
	}
	return l, nil
}

func (l *entryLog) last() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.term(l.last())
	return term
}

// term returns the term of the entry at index; ok is false if the log does not contain it or has compacted it.
func (l *entryLog) term(index uint64) (term uint64, ok bool) {
	switch {
	case index == l.snapshot.Index:
		return l.snapshot.Term, true
	case index < l.snapshot.Index || index > l.last():
		return 0, false
	}
	return l.entries[index-l.snapshot.Index-1].Term, true
}

func (l *entryLog) add(e Entry) error {
	if e.Kind == EntryConfig {
		var c Config
		if err := json.Unmarshal(e.Data, &c); err != nil {
			return Error.New("configuration entry %d: %v", e.Index, err)
		}
		l.configs = append(l.configs, indexedConfig{e.Index, c})
	}
	l.entries = append(l.entries, e)
	return nil
}

// truncate removes the entry at index and all later ones.
func (l *entryLog) truncate(index uint64) {
	l.entries = slices.Clip(l.entries[:index-l.snapshot.Index-1])
	for n := len(l.configs); n > 0 && l.configs[n-1].index >= index; n-- {
		l.configs = l.configs[:n-1]
	}
}

// slice returns entries starting at index, limited in number and bytes.
func (l *entryLog) slice(index uint64, maxEntries, maxBytes int) []Entry {
	if index > l.last() {
		return nil
	}
	from := l.entries[index-l.snapshot.Index-1:]
	size := 0
	for i, e := range from {
		size += len(e.Data)
		if i+1 == maxEntries || size >= maxBytes {
			return slices.Clone(from[:i+1])
		}
	}
	return slices.Clone(from)
}

// config returns the configuration in effect at the last entry, committed or not.
func (l *entryLog) config() Config { return l.configAt(l.last()) }

func (l *entryLog) configIndex() uint64 {
	if n := len(l.configs); n > 0 {
		return l.configs[n-1].index
	}
	return l.snapshot.Index
}

func (l *entryLog) configAt(index uint64) Config {
	c := l.snapshot.Config
	for _, at := range l.configs {
		if at.index <= index {
			c = at.config
		}
	}
	return c
}

// compact drops entries up to index, which a snapshot of the state machine covers.
func (l *entryLog) compact(index uint64) Snapshot {
	term, _ := l.term(index)
	next := Snapshot{Index: index, Term: term, Config: l.configAt(index)}
	l.entries = slices.Clone(l.entries[index-l.snapshot.Index:])
	l.configs = slices.DeleteFunc(l.configs, func(c indexedConfig) bool { return c.index <= index })
	l.snapshot = next
	return next
}

// member returns the member with the given identity.
func (c Config) member(id string) (Member, bool) {
	at := slices.IndexFunc(c.Members, func(m Member) bool { return m.ID == id })
	if at < 0 {
		return Member{}, false
	}
	return c.Members[at], true
}

// Voter reports whether the identity belongs to a voting member.
func (c Config) Voter(id string) bool {
	m, ok := c.member(id)
	return ok && !m.Learner
}

// Voters returns the identities of the voting members.
func (c Config) Voters() []string {
	var ids []string
	for _, m := range c.Members {
		if !m.Learner {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// majority reports whether has is true for more than half of the voters.
func (c Config) majority(has func(id string) bool) bool {
	voters, n := c.Voters(), 0
	for _, id := range voters {
		if has(id) {
			n++
		}
	}
	return n > len(voters)/2
}
