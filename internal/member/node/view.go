package node

import (
	"maps"
	"slices"

	"lycheevale/internal/member/directory"
)

// maxHistory limits the changes that a coordinator keeps in order to send deltas.
const maxHistory = 64

// ViewID identifies a view. Term increases with each coordinator, Version with each change.
type ViewID struct {
	Term    uint64 `json:"Term"`
	Version uint64 `json:"Version"`
}

// assignedEndpoint is an endpoint with its owner.
type assignedEndpoint struct {
	directory.Announcement
	Owner string `json:"Owner,omitempty"`
}

// delta is the difference between two views; a delta with Reset holds a complete view.
type delta struct {
	From          ViewID               `json:"From"`
	To            ViewID               `json:"To"`
	Reset         bool                 `json:"Reset,omitempty"`
	Instances     []directory.Instance `json:"Instances,omitempty"`
	Endpoints     []assignedEndpoint   `json:"Endpoints,omitempty"`
	GoneInstances []string             `json:"GoneInstances,omitempty"`
	GoneEndpoints []string             `json:"GoneEndpoints,omitempty"`
}

// view is the state that the coordinator distributes to all instances of a data centre.
type view struct {
	id        ViewID
	instances map[string]directory.Instance
	endpoints map[string]assignedEndpoint
}

func newView() *view {
	return &view{instances: map[string]directory.Instance{}, endpoints: map[string]assignedEndpoint{}}
}

func (v *view) clone() *view {
	return &view{id: v.id, instances: maps.Clone(v.instances), endpoints: maps.Clone(v.endpoints)}
}

// apply applies a delta and reports whether it was applicable to this view.
func (v *view) apply(d delta) bool {
	if d.To.Term < v.id.Term || (!d.Reset && d.From != v.id) {
		return false
	}
	if d.To.Term == v.id.Term && d.To.Version < v.id.Version {
		return false
	}
	if d.Reset {
		clear(v.instances)
		clear(v.endpoints)
	}
	for _, i := range d.Instances {
		v.instances[i.Name] = i
	}
	for _, e := range d.Endpoints {
		v.endpoints[e.Name] = e
	}
	for _, name := range d.GoneInstances {
		delete(v.instances, name)
	}
	for _, name := range d.GoneEndpoints {
		delete(v.endpoints, name)
	}
	v.id = d.To
	return true
}

// change holds the names of the instances and endpoints that differ between a view and its successor.
type change struct {
	from                 ViewID
	instances, endpoints []string
}

// publisher holds a coordinator's view and its most recent changes.
type publisher struct {
	view    *view
	history []change
}

// update replaces the content and reports whether it differs; a new term counts as a difference.
func (p *publisher) update(term uint64, instances map[string]directory.Instance, endpoints map[string]assignedEndpoint) bool {
	c := change{
		from:      p.view.id,
		instances: changedKeys(p.view.instances, instances),
		endpoints: changedKeys(p.view.endpoints, endpoints),
	}
	if term == p.view.id.Term && len(c.instances) == 0 && len(c.endpoints) == 0 {
		return false
	}
	p.history = append(p.history, c)
	if len(p.history) > maxHistory {
		p.history = slices.Delete(p.history, 0, len(p.history)-maxHistory)
	}
	p.view = &view{id: ViewID{term, p.view.id.Version + 1}, instances: instances, endpoints: endpoints}
	return true
}

// changedKeys returns the sorted keys whose values differ between two maps.
func changedKeys[V comparable](old, now map[string]V) []string {
	var names []string
	for name, v := range now {
		if was, ok := old[name]; !ok || was != v {
			names = append(names, name)
		}
	}
	for name := range old {
		if _, ok := now[name]; !ok {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// since returns the delta from the view with the given ID, or a complete view if the history does not
// contain it.
func (p *publisher) since(id ViewID) delta {
	at := slices.IndexFunc(p.history, func(c change) bool { return c.from == id })
	if at < 0 {
		return p.delta(delta{To: p.view.id, Reset: true}, sortedKeys(p.view.instances), sortedKeys(p.view.endpoints))
	}
	var instances, endpoints []string
	for _, c := range p.history[at:] {
		instances = append(instances, c.instances...)
		endpoints = append(endpoints, c.endpoints...)
	}
	return p.delta(delta{From: id, To: p.view.id}, unique(instances), unique(endpoints))
}

func (p *publisher) delta(d delta, instances, endpoints []string) delta {
	for _, name := range instances {
		if i, ok := p.view.instances[name]; ok {
			d.Instances = append(d.Instances, i)
		} else {
			d.GoneInstances = append(d.GoneInstances, name)
		}
	}
	for _, name := range endpoints {
		if e, ok := p.view.endpoints[name]; ok {
			d.Endpoints = append(d.Endpoints, e)
		} else {
			d.GoneEndpoints = append(d.GoneEndpoints, name)
		}
	}
	return d
}

func sortedKeys[V any](m map[string]V) []string {
	return slices.Sorted(maps.Keys(m))
}

func unique(names []string) []string {
	slices.Sort(names)
	return slices.Compact(names)
}
