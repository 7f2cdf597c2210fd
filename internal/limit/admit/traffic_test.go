package admit

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/knownred"
	"lycheevale/internal/base/virtualtime"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/wire/peer"
)

const (
	nodeBound       = 12_000.0          // bytes per second of all control of a node
	callHeaders     = 148               // bytes of TLS, TCP and IP for a call with its reply
	otherControl    = 107.0 + 318 + 430 // bytes per second of membership, feed and withdrawn keys of an ordinary node
	centreInstances = 92                // instances of a data centre
	nodeRequests    = 35_000.0 / 1_100  // per second
	warmUp, counted = 14 * time.Second, 4 * time.Second
	requestReserves = 500.0
	requestUses     = 371.0
	requestRuns     = 3 * time.Second
	coordinatorName = "coordinator"
)

// centre is one data centre at the target size. It counts the bytes of each call at both ends.
type centre struct {
	mu    sync.Mutex
	muxes map[string]*peer.Mux
	bytes map[string]float64
	calls map[string]float64
}

func (c *centre) call(from string) peer.Caller {
	return func(ctx context.Context, to, method string, params, result any) error {
		raw, err := json.Marshal(params)
		if err != nil {
			return err
		}
		time.Sleep(localLatency)
		answer, err := c.muxes[to].Serve(ctx, from, method, raw)
		if err != nil {
			return err
		}
		back, err := json.Marshal(answer)
		if err != nil {
			return err
		}
		time.Sleep(localLatency)
		c.mu.Lock()
		for _, end := range []string{from, to} {
			c.bytes[end] += float64(len(raw) + len(back) + callHeaders)
			c.calls[end]++
		}
		c.mu.Unlock()
		return json.Unmarshal(back, result)
	}
}

// newCentre starts the coordinator and its instances, with customers that all have the same limit and room.
func newCentre(ctx context.Context, group *errgroup.Group, customers int) (c *centre, instances []*Admission) {
	c = &centre{muxes: map[string]*peer.Mux{}, bytes: map[string]float64{}, calls: map[string]float64{}}
	limit := registry.Customer{Rate: 1e6, Burst: 1e7}
	coordinator := NewCoordinator(time.Now(), 1)
	for i := range customers {
		coordinator.SetCustomer(time.Now(), customerName(i), limit)
		coordinator.SetShare(time.Now(), registry.Share{Customer: customerName(i), Rate: limit.Rate, Burst: limit.Burst, Epoch: 1, Confirmed: true})
	}
	server := NewServer(coordinator)
	c.muxes[coordinatorName] = peer.NewMux()
	HandleCoordinator(c.muxes[coordinatorName], func() (*Server, bool) { return server, true })
	group.Go(func() error { return server.Run(ctx) })
	var names []string
	for i := range centreInstances {
		names = append(names, fmt.Sprintf("instance-%02d", i))
	}
	var customerNames []string
	for i := range customers {
		customerNames = append(customerNames, customerName(i))
	}
	lenders := Lenders(customerNames, names)
	for _, name := range names {
		a := New(WithCall(c.call(name)), WithCoordinator(func() (string, bool) { return coordinatorName, true }),
			WithLender(func(customer string) (string, bool) { l := lenders[customer]; return l, l != name }),
			WithLimit(func(string) (registry.Customer, bool) { return limit, true }))
		instances = append(instances, a)
		c.muxes[name] = peer.NewMux()
		HandleLender(c.muxes[name], a)
		group.Go(func() error { return a.Run(ctx) })
	}
	return c, instances
}

// send sends requests of uniformly drawn customers to uniformly drawn instances until ctx ends.
func send(ctx context.Context, group *errgroup.Group, customers int, instances []*Admission) {
	random := rand.New(rand.NewPCG(1, 1))
	interval := float64(time.Second) / nodeRequests / centreInstances
	for ctx.Err() == nil {
		a, name := instances[random.IntN(len(instances))], customerName(random.IntN(customers))
		group.Go(func() error {
			r, err := a.Reserve(ctx, name, requestReserves)
			if err != nil {
				return err
			}
			_ = pause(ctx, requestRuns)
			r.Settle(requestUses)
			return nil
		})
		_ = pause(ctx, time.Duration(random.ExpFloat64()*interval))
	}
}

// Guards against control messages of limits that exceed a node's bound of bytes at the target size. The bound is the
// design's for all control of a node, so the other parts are added; for those of the coordinator see docs/CAPACITY.md.
func TestTrafficAtTargetSize(t *testing.T) {
	for _, customers := range customerCounts {
		t.Run(fmt.Sprint("customers=", customers), func(t *testing.T) {
			t.Parallel()
			var ordinary, most, calls, lead, leadCalls float64
			virtualtime.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				var group, requests errgroup.Group
				c, instances := newCentre(ctx, &group, customers)
				time.AfterFunc(warmUp+counted, cancel)
				time.AfterFunc(warmUp, func() {
					c.mu.Lock()
					defer c.mu.Unlock()
					clear(c.bytes)
					clear(c.calls)
				})
				time.Sleep(time.Second)
				send(ctx, &requests, customers, instances)
				c.mu.Lock()
				for name, bytes := range c.bytes {
					if name != coordinatorName {
						ordinary += bytes / centreInstances / counted.Seconds()
						most = max(most, bytes/counted.Seconds())
						calls += c.calls[name] / centreInstances / counted.Seconds()
					}
				}
				lead, leadCalls = c.bytes[coordinatorName]/counted.Seconds(), c.calls[coordinatorName]/counted.Seconds()
				c.mu.Unlock()
				_ = requests.Wait()
				quicktest.Assert(t, group.Wait(), quicktest.IsNil)
			})
			t.Run("instance", func(t *testing.T) {
				knownred.Target(t, ordinary+otherControl <= nodeBound, "instance: %.0f B per second with headers in %.1f calls, at most "+
					"%.0f; with other control %.0f, bound %.0f", ordinary, calls, most, ordinary+otherControl, nodeBound)
			})
			t.Run("coordinator", func(t *testing.T) {
				knownred.Target(t, lead+otherControl <= nodeBound, "coordinator: %.0f B per second with headers in %.1f calls, "+
					"bound of all control %.0f", lead, leadCalls, nodeBound)
			})
		})
	}
}
