// Package registry holds the configuration objects and the state machine that applies changes to them.
package registry

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"lycheevale/internal/state/retention"
)

// ID identifies an object.
type ID struct {
	Kind Kind   `json:"Kind,omitempty"`
	Name string `json:"Name,omitempty"`
}

// Registry holds the configuration at its current revision and is safe for concurrent use. Specs of returned objects are
// shared and must not be modified.
type Registry struct {
	options Options

	mu           sync.RWMutex
	revision     uint64
	clock        retention.Clock
	tables       map[Kind]*table
	referrers    map[ID]int           // number of objects that refer to the object
	routes       map[string]string    // service by "method path"
	allowances   map[string]allowance // upper bound of what a data centre may be using, by name of the share
	withdrawn    map[string]struct{}  // identifiers of deleted keys
	results      map[string]Result
	resultOrder  []remembered // requests with a result, in the order of their commands
	history      []historyEntry
	historyStart uint64 // history is complete after this revision
}

type remembered struct {
	RequestID string
	Deadline  time.Time
}

type historyEntry struct {
	revision uint64
	id       ID
}

// New returns an empty registry at revision 0.
func New(opts ...Option) *Registry {
	r := &Registry{options: defaults()}
	for _, opt := range opts {
		opt(&r.options)
	}
	r.clear()
	return r
}

func (r *Registry) clear() {
	r.tables = map[Kind]*table{}
	for _, kind := range []Kind{
		KindCustomer, KindKey, KindModel, KindAdapter, KindVersion, KindService, KindVoter, KindShare, KindQuarantine,
	} {
		r.tables[kind] = newTable()
	}
	r.referrers, r.routes, r.allowances = map[ID]int{}, map[string]string{}, map[string]allowance{}
	r.withdrawn, r.results = map[string]struct{}{}, map[string]Result{}
	r.resultOrder, r.history = nil, nil
}

// Revision returns the revision of the last applied change.
func (r *Registry) Revision() uint64 {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.revision
}

// Get returns the object if it exists and is not deleted.
func (r *Registry) Get(kind Kind, name string) (Object, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.object(ID{kind, name})
}

func (r *Registry) object(id ID) (Object, bool) {
	t := r.tables[id.Kind]
	if t == nil {
		return Object{}, false
	}
	o, ok := t.objects[id.Name]
	return o, ok
}

// List returns the objects of a kind, ordered by name.
func (r *Registry) List(kind Kind) []Object { return r.Page(kind, "", "", 0) }

// Page returns up to limit objects whose names start with prefix and sort after the name after; a limit of 0 returns all.
func (r *Registry) Page(kind Kind, prefix, after string, limit int) (page []Object) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	t := r.tables[kind]
	if t == nil {
		return nil
	}
	t.scan(prefix, after, func(o Object) bool {
		page = append(page, o)
		return len(page) != limit
	})
	return page
}

// Count returns the number of objects of a kind.
func (r *Registry) Count(kind Kind) int {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if t := r.tables[kind]; t != nil {
		return len(t.objects)
	}
	return 0
}

// Withdrawn reports whether the key was withdrawn or deleted.
func (r *Registry) Withdrawn(key string) bool {
	r.mu.RLock()
	defer r.mu.RUnlock()
	_, deleted := r.withdrawn[key]
	o, ok := r.object(ID{KindKey, key})
	return deleted || (ok && o.Key.Withdrawn)
}

// Apply applies the command atomically.
func (r *Registry) Apply(c Command) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Advance(c.At)
	r.expireResults(now)
	if first, seen := r.results[c.RequestID]; seen && r.options.Rules.RememberResults {
		return first
	}
	result := r.apply(c)
	if c.RequestID != "" {
		r.results[c.RequestID] = result
		r.resultOrder = append(r.resultOrder, remembered{c.RequestID, now.Add(r.options.Retention)})
	}
	return result
}

// expireResults drops results past their deadline and, beyond the limit, the oldest ones.
func (r *Registry) expireResults(now time.Time) {
	for len(r.resultOrder) > 0 && (len(r.resultOrder) >= r.options.MaxResults || !now.Before(r.resultOrder[0].Deadline)) {
		delete(r.results, r.resultOrder[0].RequestID)
		r.resultOrder = r.resultOrder[1:]
	}
}

func (r *Registry) apply(c Command) Result {
	if c.ExpectedRevision != 0 && c.ExpectedRevision != r.revision && r.options.Rules.ExpectedRevision {
		return Result{
			Revision: r.revision, Conflict: true, Code: CodeConflict,
			Error: fmt.Sprintf("expected revision %d, current revision is %d", c.ExpectedRevision, r.revision),
		}
	}
	changes := make([]Object, 0, len(c.Changes))
	for _, o := range c.Changes {
		o = clone(o)
		o.Revision = r.revision + 1
		changes = append(changes, o)
	}
	if err := r.check(changes); err != nil {
		return Result{Revision: r.revision, Error: err.Message, Code: err.Code, Object: err.Object}
	}
	r.revision++
	for _, o := range changes {
		r.put(o)
	}
	r.trimHistory()
	return Result{Revision: r.revision}
}

// put replaces or removes one object and updates all indexes.
func (r *Registry) put(o Object) {
	id := ID{o.Kind, o.Name}
	old, existed := r.object(id)
	if existed {
		r.updateReferences(old, -1)
	}
	if o.Kind == KindShare {
		r.updateAllowance(o)
	}
	if o.Deleted {
		r.tables[o.Kind].remove(o.Name)
		if o.Kind == KindKey {
			r.withdrawn[o.Name] = struct{}{}
		}
	} else {
		r.tables[o.Kind].set(o)
		r.updateReferences(o, 1)
	}
	r.history = append(r.history, historyEntry{r.revision, id})
}

func (r *Registry) updateReferences(o Object, n int) {
	for _, id := range references(o) {
		r.referrers[id] += n
		if r.referrers[id] == 0 {
			delete(r.referrers, id)
		}
	}
	if o.Service == nil {
		return
	}
	for _, route := range o.Service.Routes {
		if n > 0 {
			r.routes[route.Method+" "+route.Path] = o.Name
		} else {
			delete(r.routes, route.Method+" "+route.Path)
		}
	}
}

// ModelRef is what a caller named in the model field, resolved against the configuration.
type ModelRef struct {
	Model    string
	Adapter  string // empty for the base model
	Version  string // empty for the base model
	Customer string // empty if open to all
}

// Resolve returns the adapter and version, or the base model, that a caller's model name refers to.
func (r *Registry) Resolve(name string) (ref ModelRef, ok bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if _, isModel := r.object(ID{KindModel, name}); isModel {
		return ModelRef{Model: name}, true
	}
	adapterName, version, explicit := strings.Cut(name, "@")
	o, found := r.object(ID{KindAdapter, adapterName})
	if !found || (explicit && version == "") {
		return ModelRef{}, false
	}
	if !explicit {
		version = o.Adapter.DefaultVersion
	}
	v, found := r.object(ID{KindVersion, adapterName + "@" + version})
	if !found || v.Version.State != VersionActive {
		return ModelRef{}, false
	}
	ref = ModelRef{Model: o.Adapter.Model, Adapter: adapterName, Version: version}
	if !o.Adapter.Open {
		ref.Customer = o.Adapter.Customer
	}
	return ref, true
}

func (r *Registry) trimHistory() {
	excess := len(r.history) - r.options.MaxHistory
	if excess <= 0 {
		return
	}
	// A revision is dropped as a whole, because a delta must not contain only a part of a revision.
	r.historyStart = r.history[excess-1].revision
	kept := slices.IndexFunc(r.history, func(c historyEntry) bool { return c.revision > r.historyStart })
	if kept < 0 {
		kept = len(r.history)
	}
	r.history = r.history[kept:]
}
