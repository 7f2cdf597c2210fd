package registry

import (
	"maps"
	"reflect"
	"slices"

	"github.com/zeebo/errs"
)

// streamPageObjects is how many objects Stream copies per acquisition of the lock, which lookups of requests may have to
// wait for.
const streamPageObjects = 1000

var errReplaced = errs.New("the configuration was replaced while it was read")

// Stream yields the whole configuration in pages, releases the lock between them, and returns the revision. Objects that
// change meanwhile are yielded again at the end; deleted objects and all deleted keys are yielded with Deleted set.
func (r *Registry) Stream(yield func(page []Object) error) (revision uint64, err error) {
	begin := r.Revision()
	for _, kind := range slices.Sorted(maps.Keys(r.kinds())) {
		page := r.Page(kind, "", "", streamPageObjects)
		for len(page) > 0 {
			if err := yield(page); err != nil {
				return 0, err
			}
			page = r.Page(kind, "", page[len(page)-1].Name, streamPageObjects)
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
	if begin < r.historyStart {
		return Delta{}, Error.Wrap(errReplaced)
	}
	d := r.changesSince(begin)
	d.Objects = append(d.Objects, r.deletedKeys()...)
	return d, nil
}

// Loader builds a new configuration object by object and replaces the one in effect when Install is called.
type Loader struct {
	target *Registry
	loaded *Registry
}

// Load returns a Loader, which is not safe for concurrent use.
func (r *Registry) Load() *Loader {
	return &Loader{target: r, loaded: New(func(o *Options) { *o = r.options })}
}

// Add adds or, if it is Deleted, removes an object. The spec must not be modified afterwards.
func (l *Loader) Add(o Object) {
	if l.loaded.tables[o.Kind] == nil {
		return
	}
	// An unchanged object is shared with the configuration in effect, to avoid holding two whole configurations in memory.
	if current, ok := l.target.Get(o.Kind, o.Name); ok && reflect.DeepEqual(current, o) {
		o = current
	}
	l.loaded.put(o)
	l.loaded.history = l.loaded.history[:0]
}

// Install replaces the configuration with the loaded objects at the revision; it never lowers the revision.
func (l *Loader) Install(revision uint64) error {
	r := l.target
	r.mu.Lock()
	defer r.mu.Unlock()
	if revision <= r.revision && r.options.Rules.ForwardOnly {
		return ErrStale
	}
	// Deleted keys stay deleted, even if the snapshot omits them.
	maps.Copy(l.loaded.withdrawn, r.withdrawn)
	r.clear()
	r.tables, r.referrers, r.routes = l.loaded.tables, l.loaded.referrers, l.loaded.routes
	r.allowances, r.withdrawn = l.loaded.allowances, l.loaded.withdrawn
	r.revision, r.historyStart = revision, revision
	return nil
}
