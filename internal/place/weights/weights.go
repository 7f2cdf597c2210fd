// Package weights decides which endpoints load which base models. Endpoints restart empty, and the weight store allows few
// loads a second over all endpoints.
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

// Endpoint is an engine.
type Endpoint struct {
	ID     string
	Models []string // that it holds
	Room   float64  // MB for weights
	Choice []Model  // models of its service
}

// Load is an order to give.
type Load struct {
	Endpoint string
	Model    string
}

// Options are the settings of a Planner.
type Options struct {
	Window  time.Duration // over which the store's rate holds
	AtOnce  int           // loads that run at the same time, since loads slow each other
	Timeout time.Duration // after which a load that was ordered and is not seen is planned again
}

// Defaults returns the settings.
func Defaults() Options {
	return Options{Window: 5 * time.Second, AtOnce: 3, Timeout: 6 * time.Second}
}

// Planner remembers the loads that were ordered. It is not safe for concurrent use.
type Planner struct {
	options Options
	running map[string]time.Time // until when a load is awaited, by endpoint
	begun   []time.Time          // loads that may count in the window
}

// New returns a planner. Loads of a leader before it may still count, so that it begins with half of its window used.
func New(now time.Time, rate float64, o Options) *Planner {
	p := &Planner{options: o, running: map[string]time.Time{}}
	for range int(rate * o.Window.Seconds() / 2) {
		p.begun = append(p.begun, now)
	}
	return p
}

// Plan returns the loads to order now. The rate is that of the weight store, in loads a second.
func (p *Planner) Plan(now time.Time, rate float64, endpoints []Endpoint) (loads []Load) {
	p.begun = slices.DeleteFunc(p.begun, func(at time.Time) bool { return now.Sub(at) >= p.options.Window })
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
		if len(p.running) >= p.options.AtOnce || len(p.begun) >= most {
			break
		}
		m, ok := choose(e, holders)
		if !ok {
			continue
		}
		holders[m]++
		p.running[e.ID] = now.Add(p.options.Timeout)
		p.begun = append(p.begun, now)
		loads = append(loads, Load{Endpoint: e.ID, Model: m})
	}
	return loads
}

// choose returns the model with the fewest holders that fits.
func choose(e Endpoint, holders map[string]int) (name string, ok bool) {
	fitting := slices.DeleteFunc(slices.Clone(e.Choice), func(m Model) bool { return m.Size > e.Room })
	if len(fitting) == 0 {
		return "", false
	}
	return slices.MinFunc(fitting, func(a, b Model) int {
		return cmp.Or(cmp.Compare(holders[a.Name], holders[b.Name]), cmp.Compare(a.Name, b.Name))
	}).Name, true
}

// Failed forgets a load that was not accepted, so that it is planned again.
func (p *Planner) Failed(endpoint string) { delete(p.running, endpoint) }
