package registry

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
)

// ID identifies an object.
type ID struct {
	Kind Kind
	Name string
}

// Registry is the configuration at one revision; it is safe for concurrent use.
type Registry struct {
	mu       sync.RWMutex
	revision uint64
	objects  map[ID]Object
	answers  map[string]Result
}

// New returns an empty registry at revision 0.
func New() *Registry {
	return &Registry{objects: map[ID]Object{}, answers: map[string]Result{}}
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
	o, ok := r.objects[ID{kind, name}]
	return o, ok && !o.Deleted
}

// List returns the objects of a kind in the order of their names.
func (r *Registry) List(kind Kind) []Object {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var list []Object
	for _, o := range r.objects {
		if o.Kind == kind && !o.Deleted {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b Object) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// Apply applies the command whole or not at all.
func (r *Registry) Apply(c Command) Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	if first, seen := r.answers[c.RequestID]; seen && c.RequestID != "" {
		return first
	}
	result := r.apply(c)
	if c.RequestID != "" {
		r.answers[c.RequestID] = result
	}
	return result
}

func (r *Registry) apply(c Command) Result {
	if c.ExpectedRevision != 0 && c.ExpectedRevision != r.revision {
		return Result{
			Revision: r.revision, Conflict: true,
			Error: fmt.Sprintf("expected revision %d, current revision is %d", c.ExpectedRevision, r.revision),
		}
	}
	next := make(map[ID]Object, len(c.Changes))
	for _, o := range c.Changes {
		o.Revision = r.revision + 1
		next[ID{o.Kind, o.Name}] = o
	}
	maps.Copy(r.objects, next)
	r.revision++
	return Result{Revision: r.revision}
}

// ModelRef is what a caller named in the model field, resolved against the configuration.
type ModelRef struct {
	Model    string
	Adapter  string // empty for the base model
	Version  string // empty for the base model
	Customer string // empty if open to all
}

// Resolve finds the adapter and version, or base model, that a caller's model name means.
func (r *Registry) Resolve(name string) (ref ModelRef, ok bool) {
	adapterName, version, _ := strings.Cut(name, "@")
	if _, isModel := r.Get(KindModel, name); isModel {
		return ModelRef{Model: name}, true
	}
	o, found := r.Get(KindAdapter, adapterName)
	if !found {
		return ModelRef{}, false
	}
	if version == "" {
		version = o.Adapter.DefaultVersion
	}
	v, found := r.Get(KindVersion, adapterName+"@"+version)
	if !found || v.Version.State != VersionActive {
		return ModelRef{}, false
	}
	ref = ModelRef{Model: o.Adapter.Model, Adapter: adapterName, Version: version}
	if !o.Adapter.Open {
		ref.Customer = o.Adapter.Customer
	}
	return ref, true
}
