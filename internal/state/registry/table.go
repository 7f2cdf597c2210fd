package registry

import (
	"strings"

	"github.com/google/btree"
)

// btreeDegree is a common node size. Lookups by name use the map, so it only affects lists.
const btreeDegree = 32

// table holds the objects of one kind and an ordered index of their names.
type table struct {
	objects map[string]Object
	names   *btree.BTreeG[string]
}

func newTable() *table {
	return &table{objects: map[string]Object{}, names: btree.NewOrderedG[string](btreeDegree)}
}

func (t *table) set(o Object) {
	if _, known := t.objects[o.Name]; !known {
		t.names.ReplaceOrInsert(o.Name)
	}
	t.objects[o.Name] = o
}

func (t *table) remove(name string) {
	delete(t.objects, name)
	t.names.Delete(name)
}

// scan calls yield in order of names for the objects whose names start with prefix and sort after the name after, until
// yield returns false.
func (t *table) scan(prefix, after string, yield func(Object) bool) {
	t.names.AscendGreaterOrEqual(max(prefix, after), func(name string) bool {
		switch {
		case name == after:
			return true
		case !strings.HasPrefix(name, prefix):
			return false
		}
		return yield(t.objects[name])
	})
}

// references returns the objects that o refers to. A share is not among the referrers of its customer, because it is kept
// after the customer is deleted until its data centre has stopped using it.
func references(o Object) []ID {
	switch {
	case o.Deleted:
		return nil
	case o.Key != nil:
		return []ID{{KindCustomer, o.Key.Customer}}
	case o.Adapter != nil:
		ids := []ID{{KindCustomer, o.Adapter.Customer}, {KindModel, o.Adapter.Model}}
		if o.Adapter.DefaultVersion != "" {
			ids = append(ids, ID{KindVersion, o.Name + "@" + o.Adapter.DefaultVersion})
		}
		return ids
	case o.Version != nil:
		return []ID{{KindAdapter, o.Version.Adapter}}
	case o.Service != nil && o.Service.Kind == ServiceModel:
		return []ID{{KindModel, o.Service.Model}}
	}
	return nil
}

// clone copies an object with its spec, so that later changes by the caller do not affect the registry.
func clone(o Object) Object {
	o.Customer, o.Key, o.Model = cloneSpec(o.Customer), cloneSpec(o.Key), cloneSpec(o.Model)
	o.Adapter, o.Version, o.Voter = cloneSpec(o.Adapter), cloneSpec(o.Version), cloneSpec(o.Voter)
	o.Share, o.Service = cloneSpec(o.Share), cloneSpec(o.Service)
	o.Quarantine = cloneSpec(o.Quarantine)
	if o.Service != nil {
		o.Service.Routes = append([]Route(nil), o.Service.Routes...)
	}
	return o
}

func cloneSpec[T any](spec *T) *T {
	if spec == nil {
		return nil
	}
	c := *spec
	return &c
}
