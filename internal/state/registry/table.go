package registry

import (
	"strings"

	"github.com/google/btree"
)

// btreeDegree is a usual node size; lookups by name use the map, so it only affects lists.
const btreeDegree = 32

// table holds the objects of one kind with their names in order.
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

// scan calls yield for the objects whose names follow after and start with prefix, until it returns false.
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

// references returns the objects that o needs. A share outlives its customer until its data centre has stopped using it.
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

// clone copies an object with its spec, so that later changes by the caller cannot reach the registry.
func clone(o Object) Object {
	o.Customer, o.Key, o.Model = copied(o.Customer), copied(o.Key), copied(o.Model)
	o.Adapter, o.Version, o.Voter = copied(o.Adapter), copied(o.Version), copied(o.Voter)
	o.Share, o.Service = copied(o.Share), copied(o.Service)
	if o.Service != nil {
		o.Service.Routes = append([]Route(nil), o.Service.Routes...)
	}
	return o
}

func copied[T any](spec *T) *T {
	if spec == nil {
		return nil
	}
	c := *spec
	return &c
}
