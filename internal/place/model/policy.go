package model

import (
	"fmt"
	"time"

	"lycheevale/internal/place/baseline"
	"lycheevale/internal/place/route"
	"lycheevale/internal/place/scheduler"
)

// Permit asks the weight store budget for a load.
type Permit = func(time.Time, scheduler.LoadOrder) (bool, time.Time)

// Policy is a way to place and schedule.
type Policy struct {
	Name             string
	OwnerPerEndpoint bool // otherwise owners of at most ownerEndpoints
	SplitBudget      bool // each data centre has a fixed part of the store, as instances have; otherwise all share one budget
	Pinned           bool // the entry's endpoint is the only one allowed
	EvenShares       bool // each customer's rate is split evenly over the data centres
	Router           func(site Site, dataCentre string) *route.Router
	Scheduler        func(site Site, permit Permit) Decider
}

// ownerEndpoints is the number of endpoints that instances give to one owner before another becomes one.
const ownerEndpoints = 4

// owners returns the number of owners in a data centre, which share its endpoints evenly.
func (p Policy) owners(endpoints int) int {
	if p.OwnerPerEndpoint {
		return endpoints
	}
	return (endpoints + ownerEndpoints - 1) / ownerEndpoints
}

// Lychee is the policy of this repository; change adjusts the settings.
func Lychee(name string, settings scheduler.Options, routing route.Options, change ...scheduler.Option) Policy {
	return Policy{
		Name: name,
		Router: func(site Site, dc string) *route.Router {
			o := routing
			o.DataCentre = dc
			o.Latency = site.Latency
			return route.New(route.WithOptions(o))
		},
		Scheduler: func(site Site, permit Permit) Decider {
			o := settings
			o.LoadTime = site.LoadTime
			o.MaxLoads = site.MaxTransfers
			o.LoadInterval = seconds(float64(len(site.DataCentres)) / site.LoadsPerSecond)
			o.Permit = permit
			o.Weight = site.weight
			for _, f := range change {
				f(&o)
			}
			s := scheduler.New(scheduler.WithOptions(o))
			return Decider{
				s.SetEndpoint, s.Submit, s.Finished, s.Loaded, s.Report, s.Decide, s.NextWake, s.View,
			}
		},
	}
}

// FirstInFirstOut is the same policy without fair queueing.
func FirstInFirstOut(settings scheduler.Options, routing route.Options) Policy {
	return Lychee("first in first out", settings, routing, scheduler.WithoutRule(scheduler.FairShares))
}

// EvenShares is the same policy behind static even shares of each customer's rate.
func EvenShares(settings scheduler.Options, routing route.Options) Policy {
	p := Lychee("even shares", settings, routing)
	p.EvenShares = true
	return p
}

// LeastRecentlyUsed has one owner per data centre that prefers the least loaded endpoint where the adapter is
// resident, loads on the least loaded one, evicts the least recently used adapter and serves in order of arrival.
func LeastRecentlyUsed() Policy {
	return Policy{Name: "least recently used", Scheduler: baselineScheduler}
}

// LeastRecentlyUsedShared is LeastRecentlyUsed with this repository's routing, to tell what routing alone brings:
// the slot value that it reports makes entries send each adapter to one data centre.
func LeastRecentlyUsedShared(routing route.Options) Policy {
	p := Lychee("least recently used, routed", scheduler.Defaults(), routing)
	p.Scheduler = func(site Site, permit Permit) Decider {
		d := baselineScheduler(site, permit)
		d.View = func(time.Time, string, scheduler.AdapterRef) scheduler.View { return scheduler.View{SlotValue: 1} }
		return d
	}
	return p
}

// LeastLoaded sends each request to the endpoint of its data centre with the fewest requests, from exact counts;
// eviction and order are those of LeastRecentlyUsed.
func LeastLoaded() Policy {
	return Policy{Name: "least loaded", OwnerPerEndpoint: true, Pinned: true, Scheduler: baselineScheduler}
}

func baselineScheduler(site Site, _ Permit) Decider {
	s := baseline.New(site.MaxTransfers)
	view := func(time.Time, string, scheduler.AdapterRef) scheduler.View { return scheduler.View{} }
	return Decider{s.SetEndpoint, s.Submit, s.Finished, s.Loaded, s.Report, s.Decide, s.NextWake, view}
}

// weight is a customer's share of the configured rates.
func (s Site) weight(customer string) float64 {
	for i, share := range s.Shares {
		if customerName(i) == customer {
			return share
		}
	}
	return 1
}

// bucket is a token bucket of one customer in one data centre.
type bucket struct {
	rate, burst, level float64
	at                 time.Duration
}

func (b *bucket) take(now time.Duration, n int) bool {
	b.level = min(b.burst, b.level+b.rate*(now-b.at).Seconds())
	b.at = now
	if b.level < float64(n) {
		return false
	}
	b.level -= float64(n)
	return true
}

// newBuckets returns the even shares of one data centre: each customer's rate is half more than its mean demand and
// its burst is thirty seconds of its rate.
func (s *simulation) newBuckets() (buckets []*bucket) {
	const headroom, burst = 1.5, 30
	meanTokens := 1.2 * float64(s.site.PromptTokens+s.site.OutputTokens) // mean of the log-normal over its median
	for _, share := range s.site.Shares {
		rate := headroom * share * s.site.Rate * meanTokens / float64(len(s.site.DataCentres))
		buckets = append(buckets, &bucket{rate: rate, burst: burst * rate, level: burst * rate})
	}
	return buckets
}

func customerName(i int) string { return fmt.Sprintf("customer-%d", i) }
