package registry

import (
	"maps"
	"reflect"
	"slices"

	"github.com/zeebo/errs"
)

// pageObjects is how many objects Stream copies under the lock at a time; lookups of requests wait for it.
const pageObjects = 1000

var errRestored = errs.New("the configuration was replaced while it was read")

// Stream yields the whole configuration in pages without holding the lock in between, and returns its revision. Objects
// that change meanwhile are yielded again at the end, deleted ones and all deleted keys with Deleted set.
func (r *Registry) Stream(yield func(page []Object) error) (revision uint64, err error) {
	begin := r.Revision()
	for _, kind := range slices.Sorted(maps.Keys(r.kinds())) {
		page := r.Page(kind, "", "", pageObjects)
		for len(page) > 0 {
			if err := yield(page); err != nil {
				return 0, err
			}
			page = r.Page(kind, "", page[len(page)-1].Name, pageObjects)
		}
	}
	last, err := r.changesAndWithdrawn(begin)
	if err != nil {
		return 0, err
	}
	return last.To, yield(last.Objects)
}

func (r *Registry) kinds() map[Kind]*table {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.tables
}

func (r *Registry) changesAndWithdrawn(begin uint64) (Delta, error) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	if begin < r.since {
		return Delta{}, Error.Wrap(errRestored)
	}
	d := r.changesSince(begin)
	d.Objects = append(d.Objects, r.deletedKeys()...)
	return d, nil
}

// Loader builds a configuration object by object beside the one in effect, which it replaces at the end.
type Loader struct {
	target *Registry
	next   *Registry
}

// Load starts a Loader; it is used by one goroutine.
func (r *Registry) Load() *Loader {
	return &Loader{target: r, next: New(func(o *Options) { *o = r.options })}
}

// Add adds or, if it is Deleted, removes an object. The spec must not be modified afterwards.
func (l *Loader) Add(o Object) {
	if l.next.tables[o.Kind] == nil {
		return
	}
	// An object that is in effect already is shared, so that two whole configurations do not stand in memory.
	if now, ok := l.target.Get(o.Kind, o.Name); ok && reflect.DeepEqual(now, o) {
		o = now
	}
	l.next.put(o)
	l.next.history = l.next.history[:0]
}

// Install makes the loaded objects the configuration at the revision; it never goes back.
func (l *Loader) Install(revision uint64) error {
	r := l.target
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision <= r.revision && r.options.Rules.ForwardOnly {
		return ErrStale
	}
	// Keys that are known to be gone stay gone, even if a snapshot omitted them.
	maps.Copy(l.next.withdrawn, r.withdrawn)
	r.clear()
	r.tables, r.referrers, r.routes = l.next.tables, l.next.referrers, l.next.routes
	r.held, r.withdrawn = l.next.held, l.next.withdrawn
	r.revision, r.since = revision, revision
	return nil
}
