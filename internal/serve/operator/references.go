package operator

import (
	"fmt"
	"net/http"
	"reflect"
	"strings"

	"github.com/zeebo/errs"

	"lycheevale/internal/state/registry"
)

// View reads the configuration that a change is checked against.
type View struct {
	Object  func(kind registry.Kind, name string) (registry.Object, bool)
	Objects func(kind registry.Kind) []registry.Object
}

// merged is a view with the change applied.
type merged struct {
	view    View
	changes map[registry.ID]registry.Object
}

func (m merged) has(kind registry.Kind, name string) bool {
	if o, changed := m.changes[registry.ID{Kind: kind, Name: name}]; changed {
		return !o.Deleted
	}
	_, found := m.view.Object(kind, name)
	return found
}

func (m merged) each(kind registry.Kind, f func(registry.Object)) {
	for _, o := range m.view.Objects(kind) {
		if _, changed := m.changes[registry.ID{Kind: kind, Name: o.Name}]; !changed {
			f(o)
		}
	}
	for id, o := range m.changes {
		if id.Kind == kind && !o.Deleted {
			f(o)
		}
	}
}

// CheckReferences returns the faults of the objects that depend on the rest of the configuration:
// references to objects that do not exist, and forbidden transitions.
func CheckReferences(v View, objects []registry.Object) []Fault {
	m := merged{view: v, changes: map[registry.ID]registry.Object{}}
	for _, o := range objects {
		m.changes[registry.ID{Kind: o.Kind, Name: o.Name}] = o
	}
	fs := &faults{}
	for i, o := range objects {
		fs.index, fs.object = i, o
		old, existed := v.Object(o.Kind, o.Name)
		if existed {
			fs.transition(old, o)
		}
		if o.Deleted {
			continue
		}
		fs.shadows(m, o)
		for _, ref := range referencesOf(o) {
			if !m.has(ref.kind, ref.name) {
				fs.add(ref.path, "names %s %q, which does not exist", strings.ToLower(string(ref.kind)), ref.name)
			}
		}
	}
	fs.deletions(m, objects)
	fs.routes(m, objects)
	return fs.list
}

// transition checks a change of one object: versions are immutable, and a withdrawn key stays
// withdrawn.
func (fs *faults) transition(old, o registry.Object) {
	switch {
	case o.Kind == registry.KindKey && o.Deleted && !old.Key.Withdrawn:
		fs.add("Deleted", "must follow the withdrawal of the key, which reaches connected callers at once")
	case o.Kind == registry.KindKey && !o.Deleted && o.Key != nil:
		if old.Key.Hash != o.Key.Hash || old.Key.Customer != o.Key.Customer {
			fs.add("Key", "cannot be changed; issue another key")
		}
		if old.Key.Withdrawn != o.Key.Withdrawn {
			fs.add("Key.Withdrawn", "cannot be changed here; POST /v1/keys/{id}/withdraw withdraws a key for ever")
		}
	case o.Kind == registry.KindVersion && !o.Deleted && o.Version != nil:
		if old.Version.Source != o.Version.Source {
			fs.add("Version.Source", "cannot be changed; create a new version")
		}
	case o.Kind == registry.KindAdapter && !o.Deleted && o.Adapter != nil:
		if old.Adapter.Model != o.Adapter.Model {
			fs.add("Adapter.Model", "cannot be changed; create a new adapter")
		}
	}
}

type reference struct {
	kind registry.Kind
	name string
	path string
}

func referencesOf(o registry.Object) (refs []reference) {
	switch {
	case o.Key != nil:
		refs = append(refs, reference{registry.KindCustomer, o.Key.Customer, "Key.Customer"})
	case o.Adapter != nil:
		refs = append(refs,
			reference{registry.KindCustomer, o.Adapter.Customer, "Adapter.Customer"},
			reference{registry.KindModel, o.Adapter.Model, "Adapter.Model"})
		if o.Adapter.DefaultVersion != "" {
			refs = append(refs, reference{registry.KindVersion, o.Name + "@" + o.Adapter.DefaultVersion, "Adapter.DefaultVersion"})
		}
	case o.Version != nil:
		refs = append(refs, reference{registry.KindAdapter, o.Version.Adapter, "Version.Adapter"})
	case o.Service != nil && o.Service.Model != "":
		refs = append(refs, reference{registry.KindModel, o.Service.Model, "Service.Model"})
	case o.Share != nil:
		refs = append(refs, reference{registry.KindCustomer, o.Share.Customer, "Share.Customer"})
	}
	return refs
}

// deletions reports deleted objects that are still referenced.
func (fs *faults) deletions(m merged, objects []registry.Object) {
	deleted := map[registry.ID]int{}
	for i, o := range objects {
		if o.Deleted {
			deleted[registry.ID{Kind: o.Kind, Name: o.Name}] = i
		}
	}
	if len(deleted) == 0 {
		return
	}
	for _, c := range Collections {
		m.each(c.Kind, func(o registry.Object) {
			for _, ref := range referencesOf(o) {
				i, gone := deleted[registry.ID{Kind: ref.kind, Name: ref.name}]
				if _, changed := m.changes[registry.ID{Kind: o.Kind, Name: o.Name}]; !gone || changed {
					continue
				}
				fs.index, fs.object = i, objects[i]
				fs.add("Deleted", "is not possible: %s %q names it", strings.ToLower(string(o.Kind)), o.Name)
			}
		})
	}
}

// routes reports routes that conflict, in the mux of an entry, with those of other services or of the
// system itself: the order in which they are read would decide where a request is routed.
func (fs *faults) routes(m merged, objects []registry.Object) {
	mux := http.NewServeMux()
	for _, pattern := range systemRoutes {
		_ = register(mux, pattern)
	}
	m.each(registry.KindService, func(o registry.Object) {
		if _, changed := m.changes[registry.ID{Kind: o.Kind, Name: o.Name}]; changed || o.Service == nil {
			return
		}
		for _, r := range o.Service.Routes {
			_ = register(mux, r.Method+" "+r.Path)
		}
	})
	for i, o := range objects {
		if o.Service == nil || o.Deleted {
			continue
		}
		fs.index, fs.object = i, o
		for k, r := range o.Service.Routes {
			if err := register(mux, r.Method+" "+r.Path); err != nil {
				fs.add(fmt.Sprintf("Service.Routes[%d]", k), "cannot be told apart from another route: %v", err)
			}
		}
	}
}

// systemRoutes are the routes that every entry serves itself.
var systemRoutes = []string{
	"POST /v1/completions", "POST /v1/chat/completions", "GET /v1/models", "POST /v1/endpoints/announce",
	"GET /healthz", "GET /readyz",
}

// register adds a pattern to the mux, which panics if the pattern is not valid or conflicts.
func register(mux *http.ServeMux, pattern string) (err error) {
	defer func() {
		if p := recover(); p != nil {
			lines := strings.Split(fmt.Sprint(p), "\n") // the first line contains source file names
			err = errs.New("%s", lines[len(lines)-1])
		}
	}()
	mux.HandleFunc(pattern, func(http.ResponseWriter, *http.Request) {})
	return nil
}

// shadows reports adapters with the name of a model: callers could only address the model.
func (fs *faults) shadows(m merged, o registry.Object) {
	other := map[registry.Kind]registry.Kind{
		registry.KindModel: registry.KindAdapter, registry.KindAdapter: registry.KindModel,
	}[o.Kind]
	if other != "" && m.has(other, o.Name) {
		fs.add("Name", "is the name of %s too; callers could not tell them apart", strings.ToLower(string(other)))
	}
}

// effects returns what the change does to each object.
func effects(v View, objects []registry.Object) []Effect {
	list := make([]Effect, 0, len(objects))
	for _, o := range objects {
		old, existed := v.Object(o.Kind, o.Name)
		list = append(list, Effect{Kind: o.Kind, Name: o.Name, Action: EffectOf(old, existed, o)})
	}
	return list
}

// EffectOf returns the effect of replacing the object old by o.
func EffectOf(old registry.Object, existed bool, o registry.Object) Action {
	o.Revision = old.Revision
	switch {
	case o.Deleted && existed:
		return ActionDelete
	case o.Deleted, existed && reflect.DeepEqual(old, o):
		return ActionNone
	case existed:
		return ActionUpdate
	}
	return ActionCreate
}
