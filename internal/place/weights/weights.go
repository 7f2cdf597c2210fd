// Package weights decides which endpoints load which base models. Endpoints hold no model after a restart, and the weight
// store allows only a few loads a second over all endpoints.
package weights

import (
	"cmp"
	"slices"
	"time"
)

// Model is a base model of a service.
type Model struct {
	Name string
	Size float64 // MB
}

// Endpoint is an engine that may need a model.
type Endpoint struct {
	ID     string
	Models []string // models that it holds
	FreeMB float64  // memory for weights in MB
	Choice []Model  // models of its service, one of which is loaded
}

// Load is an order to load a model at an endpoint.
type Load struct {
	Endpoint string
	Model    string
}

// Options are the settings of a Planner.
type Options struct {
	Window   time.Duration // over which the store's rate is averaged
	MaxLoads int           // maximum number of concurrent loads, because loads slow each other down
	Timeout  time.Duration // after which an ordered load whose model was not reported is planned again
}

// Defaults returns the default settings.
func Defaults() Options {
	return Options{Window: 5 * time.Second, MaxLoads: 3, Timeout: 6 * time.Second}
}

// Planner plans loads and keeps track of those that were ordered. It is not safe for concurrent use.
type Planner struct {
	options Options
	running map[string]time.Time // time until which an ordered load is expected to end, by endpoint
	started []time.Time          // start times of loads in the window
}

// New returns a planner. Loads that the previous leader ordered may still count against the store's rate, so the planner
// starts with half of its window used.
func New(now time.Time, rate float64, o Options) *Planner {
	p := &Planner{options: o, running: map[string]time.Time{}}
	for range int(rate * o.Window.Seconds() / 2) {
		p.started = append(p.started, now)
	}
	return p
}

// Plan returns the loads to order now. The rate is that of the weight store, in loads a second.
func (p *Planner) Plan(now time.Time, rate float64, endpoints []Endpoint) (loads []Load) {
	p.started = slices.DeleteFunc(p.started, func(at time.Time) bool { return now.Sub(at) >= p.options.Window })
	holders := map[string]int{}
	present := map[string]bool{}
	for _, e := range endpoints {
		present[e.ID] = true
		for _, m := range e.Models {
			holders[m]++
		}
		if len(e.Models) > 0 {
			delete(p.running, e.ID)
		}
	}
	for id, until := range p.running {
		if !present[id] || now.After(until) {
			delete(p.running, id)
		}
	}
	most := int(rate * p.options.Window.Seconds())
	for _, e := range endpoints {
		if _, waits := p.running[e.ID]; waits || len(e.Models) > 0 {
			continue
		}
		if len(p.running) >= p.options.MaxLoads || len(p.started) >= most {
			break
		}
		m, ok := choose(e, holders)
		if !ok {
			continue
		}
		holders[m]++
		p.running[e.ID] = now.Add(p.options.Timeout)
		p.started = append(p.started, now)
		loads = append(loads, Load{Endpoint: e.ID, Model: m})
	}
	return loads
}

// choose returns the model with the fewest holders among those that fit into the endpoint's memory.
func choose(e Endpoint, holders map[string]int) (name string, ok bool) {
	fitting := slices.DeleteFunc(slices.Clone(e.Choice), func(m Model) bool { return m.Size > e.FreeMB })
	if len(fitting) == 0 {
		return "", false
	}
	return slices.MinFunc(fitting, func(a, b Model) int {
		return cmp.Or(cmp.Compare(holders[a.Name], holders[b.Name]), cmp.Compare(a.Name, b.Name))
	}).Name, true
}

// Failed removes a load that the endpoint did not accept, so that it is planned again.
func (p *Planner) Failed(endpoint string) { delete(p.running, endpoint) }
