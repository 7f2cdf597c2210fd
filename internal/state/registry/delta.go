package registry

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"lycheevale/internal/state/retention"
)

// Delta holds the changes that bring a copy of the configuration from one revision to a later one.
type Delta struct {
	From     uint64   `json:"From"`
	To       uint64   `json:"To"`
	Snapshot bool     `json:"Snapshot,omitempty"` // Objects is the whole configuration; From is ignored
	Objects  []Object `json:"Objects"`
}

// DeltaSince returns the changes after the revision, or a snapshot if the history does not reach back that far.
func (r *Registry) DeltaSince(revision uint64) Delta {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if revision < r.historyStart {
		return r.snapshotDelta()
	}
	return r.changesSince(revision)
}

func (r *Registry) changesSince(revision uint64) Delta {
	d := Delta{From: revision, To: r.revision}
	seen := map[ID]bool{}
	for i := len(r.history) - 1; i >= 0 && r.history[i].revision > revision; i-- {
		id := r.history[i].id
		if seen[id] {
			continue
		}
		seen[id] = true
		o, ok := r.object(id)
		if !ok {
			o = Object{Kind: id.Kind, Name: id.Name, Revision: r.history[i].revision, Deleted: true}
		}
		d.Objects = append(d.Objects, o)
	}
	slices.Reverse(d.Objects)
	return d
}

// NeedsSnapshot reports whether DeltaSince returns all objects for the revision.
func (r *Registry) NeedsSnapshot(revision uint64) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return revision < r.historyStart || revision == 0
}

// Size returns the number of objects.
func (r *Registry) Size() (objects int) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.size()
}

func (r *Registry) size() (objects int) {
	for _, t := range r.tables {
		objects += len(t.objects)
	}
	return objects
}

func (r *Registry) snapshotDelta() Delta {
	return Delta{To: r.revision, Snapshot: true, Objects: append(r.allObjects(), r.deletedKeys()...)}
}

func (r *Registry) deletedKeys() (all []Object) {
	for _, name := range slices.Sorted(maps.Keys(r.withdrawn)) {
		all = append(all, Object{Kind: KindKey, Name: name, Deleted: true})
	}
	return all
}

func (r *Registry) allObjects() (all []Object) {
	for _, kind := range slices.Sorted(maps.Keys(r.tables)) {
		r.tables[kind].scan("", "", func(o Object) bool {
			all = append(all, o)
			return true
		})
	}
	return all
}

// Install applies a delta to a copy that has no log of its own; it never lowers the revision.
func (r *Registry) Install(d Delta) error {
	if d.Snapshot {
		l := r.Load()
		for _, o := range d.Objects {
			l.Add(o)
		}
		return l.Install(d.To)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.To <= r.revision && r.options.Rules.ForwardOnly {
		return ErrStale
	}
	if d.From != r.revision {
		return ErrGap
	}
	r.revision = d.To
	for _, o := range d.Objects {
		if r.tables[o.Kind] != nil {
			r.put(o)
		}
	}
	r.trimHistory()
	return nil
}

// stored is the JSON representation of a snapshot of the state machine.
type stored struct {
	Revision  uint64
	Clock     retention.Clock
	Objects   []Object
	Withdrawn []string
	Held      map[string]allowance
	Results   map[string]Result
	Order     []remembered
}

// Snapshot encodes the whole state, including remembered results.
func (r *Registry) Snapshot() (data []byte, err error) { return r.View()() }

// View copies the whole state except the specs, which are never modified, and returns a function that encodes the copy.
// The function may run while changes are applied.
func (r *Registry) View() (encode func() ([]byte, error)) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	s := stored{
		Revision: r.revision, Clock: r.clock, Objects: make([]Object, 0, r.size()), Held: maps.Clone(r.allowances),
		Withdrawn: slices.Collect(maps.Keys(r.withdrawn)), Results: maps.Clone(r.results), Order: slices.Clip(r.resultOrder),
	}
	for _, t := range r.tables {
		s.Objects = slices.AppendSeq(s.Objects, maps.Values(t.objects))
	}
	return func() ([]byte, error) {
		// Sorting gives equal states equal snapshots; it is done here because r.mu is not held.
		slices.Sort(s.Withdrawn)
		slices.SortFunc(s.Objects, func(a, b Object) int {
			return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
		})
		data, err := json.Marshal(s)
		return data, Error.Wrap(err)
	}
}

// Restore replaces the state with a snapshot.
func (r *Registry) Restore(data []byte) error {
	var s stored
	if err := json.Unmarshal(data, &s); err != nil {
		return Error.Wrap(err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.clear()
	r.revision, r.historyStart, r.clock = s.Revision, s.Revision, s.Clock
	for _, o := range s.Objects {
		if r.tables[o.Kind] == nil {
			return Error.New("snapshot holds unknown kind %q", o.Kind)
		}
		r.put(o)
	}
	for _, name := range s.Withdrawn {
		r.withdrawn[name] = struct{}{}
	}
	for name, h := range s.Held {
		r.allowances[name] = h
	}
	for id, result := range s.Results {
		r.results[id] = result
	}
	r.resultOrder, r.history = s.Order, nil
	return nil
}

// ApplyEntry applies an encoded Command and returns the encoded Result, as a voter's state machine requires.
func (r *Registry) ApplyEntry(data []byte) []byte {
	var c Command
	result := Result{Code: CodeInvalid, Error: "the command is not valid JSON"}
	if err := json.Unmarshal(data, &c); err == nil {
		result = r.Apply(c)
	}
	// Encoding cannot fail: Result holds only strings, numbers and booleans.
	encoded, _ := json.Marshal(result)
	return encoded
}
