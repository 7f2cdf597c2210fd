package instance

import (
	"lycheevale/internal/base/metrics"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/serve/caller"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/tool/burn"
)

// observe records a finished request in the metrics and in the burn report.
func (i *Instance) observe(o caller.Outcome) {
	observe(i.metrics, o)
	if o.Cancelled {
		return // requests cancelled by the caller do not consume the error budget
	}
	out := burn.Outcome{Customer: o.Customer, Service: o.Service, Stalled: o.Stalled}
	if o.Ran == refusal.Unknown {
		out.Failed = true
	} else {
		out.Refused = o.Code
	}
	if !o.FirstToken.IsZero() {
		out.FirstToken = o.FirstToken.Sub(o.Arrived)
	}
	i.burn.Observe(i.options.Wall(), out)
}

// objective returns the current objective of a service, by which the burn report identifies slow requests.
func (i *Instance) objective(service string) (o registry.Objective) {
	if found, ok := i.state.registry.Get(registry.KindService, service); ok {
		o = found.Service.Objective
	}
	return o
}

// observe counts a finished request.
func observe(m metrics.Metrics, o caller.Outcome) {
	code := string(o.Code)
	if code == "" {
		code = "OK"
	}
	scope := m.Scope.Tagged(map[string]string{"Service": o.Service, "Customer": o.Customer})
	scope.Tagged(map[string]string{"Code": code}).Counter("Requests").Inc(1)
	scope.Counter("Tokens").Inc(int64(o.Tokens))
	if !o.FirstToken.IsZero() {
		scope.Timer("FirstToken").Record(o.FirstToken.Sub(o.Arrived))
	}
	if o.Stalled {
		scope.Counter("LoadStalls").Inc(1)
	}
}
