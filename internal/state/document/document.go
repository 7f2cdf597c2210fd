// Package document holds the versioned configuration of a deployment. Routes, services and customers form one document,
// and the document with the highest version is in effect.
package document

import (
	"slices"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of this package.
var Error = errs.Class("document")

// Kind states how often a request of a route may run.
type Kind string

// Kinds of routes.
const (
	Idempotent    Kind = "Idempotent"    // may run more than once
	NonIdempotent Kind = "NonIdempotent" // may run at most once
	Streaming     Kind = "Streaming"     // answered with an event stream; not idempotent unless resumable
)

// Target is a service that receives requests of a route in proportion to its weight.
type Target struct {
	Service string
	Weight  int
}

// Route is selected by host and by the longest prefix of the path.
type Route struct {
	Name        string
	Host        string
	Prefix      string
	Kind        Kind
	Timeout     time.Duration // maximum time that a caller may be kept waiting
	Objective   time.Duration // target for the time to the answer, or to its first event
	MaxGap      time.Duration // maximum time between two events
	Priority    int           // 0 is the highest
	Targets     []Target
	MaxAttempts int  // endpoints that one request of a caller may be sent to
	Open        bool // no key is required
	Resumable   bool
}

// Repeatable reports whether a request may run again, from its start or from the last received event.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Model is a base model of a service.
type Model struct {
	Name      string
	Adapters  int     // number of adapters
	WeightMB  float64 // size of the model's weights
	AdapterMB float64 // size of one adapter
}

// Engine describes the endpoints of a model service.
type Engine struct {
	Slots          int // requests in one batch
	MemoryTokens   int // total tokens of prompts and answers that an endpoint can hold
	AdapterSlots   int
	WeightMB       float64 // memory for weights and adapters
	LoadsPerSecond float64 // base models loaded from the weight store, across all endpoints
	Models         []Model
}

// AdapterCapacity returns the number of adapters that fit into an endpoint together with the named models.
func (e Engine) AdapterCapacity(models []string) int {
	room, size := e.WeightMB, 0.0
	for _, m := range e.Models {
		if slices.Contains(models, m.Name) {
			room -= m.WeightMB
			size = max(size, m.AdapterMB)
		}
	}
	if size <= 0 || e.WeightMB <= 0 {
		return e.AdapterSlots
	}
	return max(min(e.AdapterSlots, int(room/size)), 0)
}

// Service is a group of interchangeable endpoints.
type Service struct {
	Name           string
	MaxConnections int     // connections that one endpoint accepts from all callers
	Engine         *Engine // nil for a plain service
}

// Customer holds the keys and the rate limit of a customer.
type Customer struct {
	Name          string
	Keys          []string
	Priority      int
	CountTokens   bool    // the rate is in tokens, otherwise in requests
	Rate          float64 // per second, 0 for no limit
	Burst         float64
	DefaultTokens int // tokens counted for a request that states no number
}

// Limits holds size limits and timeouts for requests of callers.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// Document is one complete configuration.
type Document struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Check validates the document and returns the first problem found.
func (d Document) Check() (err error) {
	defer func() { err = Error.Wrap(err) }()
	services := map[string]bool{}
	for _, s := range d.Services {
		if s.Name == "" {
			return errs.New("a service has no name")
		}
		services[s.Name] = true
	}
	routesByMatch := map[[2]string]string{}
	for _, r := range d.Routes {
		if err := r.check(services); err != nil {
			return err
		}
		match := [2]string{r.Host, r.Prefix}
		if other, taken := routesByMatch[match]; taken {
			return errs.New("routes %q and %q have the same host and prefix", other, r.Name)
		}
		routesByMatch[match] = r.Name
	}
	return d.checkKeys()
}

func (d Document) checkKeys() error {
	holders := map[string]string{}
	for _, c := range d.Customers {
		for _, key := range c.Keys {
			if other, taken := holders[key]; taken && other != c.Name {
				return errs.New("customers %q and %q share a key", other, c.Name)
			}
			holders[key] = c.Name
		}
	}
	return nil
}

func (r Route) check(services map[string]bool) error {
	if r.Timeout <= 0 {
		return errs.New("route %q has no timeout", r.Name)
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return errs.New("prefix %q of route %q does not begin and end with a slash", r.Prefix, r.Name)
	}
	total := 0
	for _, t := range r.Targets {
		if !services[t.Service] {
			return errs.New("route %q has unknown service %q as a target", r.Name, t.Service)
		}
		if t.Weight < 0 {
			return errs.New("a target of route %q has a negative weight", r.Name)
		}
		total += t.Weight
	}
	if total == 0 {
		return errs.New("the target weights of route %q add up to 0", r.Name)
	}
	return nil
}

// Index provides the lookups for a request; it is immutable.
type Index struct {
	Document
	routes    map[string][]*Route // by host, longest prefix first
	services  map[string]*Service
	customers map[string]*Customer // by key

	longestTimeout time.Duration
}

// LongestTimeout returns the longest timeout of a route.
func (x *Index) LongestTimeout() time.Duration { return x.longestTimeout }

// NewIndex builds the lookup tables of a document.
func NewIndex(d Document) *Index {
	x := &Index{
		Document: d, routes: map[string][]*Route{}, services: map[string]*Service{}, customers: map[string]*Customer{},
	}
	for i := range d.Routes {
		r := &d.Routes[i]
		x.routes[r.Host] = append(x.routes[r.Host], r)
		x.longestTimeout = max(x.longestTimeout, r.Timeout)
	}
	for _, list := range x.routes {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for i := range d.Services {
		x.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Customers {
		c := &d.Customers[i]
		for _, key := range c.Keys {
			x.customers[key] = c
		}
	}
	return x
}

// Route returns the route with the longest matching prefix, or nil.
func (x *Index) Route(host, path string) *Route {
	for _, r := range x.routes[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Customer returns the customer that has the key, or nil.
func (x *Index) Customer(key string) *Customer { return x.customers[key] }
