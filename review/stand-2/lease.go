package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

const (
	// leaseTime is leaseMs of the settings, and thawTime is thawMs.
	leaseTime = 3 * time.Second
	thawTime  = 300 * time.Millisecond
	// adaptersAsked is the number of adapters of the model, several times as many as the workers have places for.
	adaptersAsked = 3000
	askedPerEntry = 20 // requests a second
	// firstBurst is the time from the beginning of a cut to the end of the burst before, and secondBurst that to the next burst.
	firstBurst  = 1500 * time.Millisecond
	secondBurst = 3700 * time.Millisecond
	// cuts is the number of cuts, and calmTime the time before each.
	cuts     = 5
	calmTime = 5 * time.Second
)

// ordersOfTwoHolders lets clients ask for many adapters, so that workers get orders all the time. With the disruption, the leader is cut off from the other
// control instances; entries and workers reach all of them. The workers do not check fencing tokens.
func ordersOfTwoHolders(ctx context.Context, s *stand) (v verdict, err error) {
	d, err := newDeployment(s, -1)
	if err != nil {
		return v, err
	}
	d.cutCore, d.fencing = true, false
	defer d.stopAll()
	between, links, err := d.linksOfCore()
	defer func() {
		for _, l := range links {
			l.close()
		}
	}()
	if err != nil {
		return v, err
	}
	workers := d.modelWorkers()
	for _, w := range workers {
		w.unfenced = true
		if err := w.start("v1", true); err != nil {
			return v, err
		}
		defer w.crash()
	}
	if err := d.startAll(ctx, []byte(configuration)); err != nil {
		return v, err
	}
	if err := d.awaitService(ctx); err != nil {
		return v, err
	}
	var healed []time.Time
	for range cuts {
		pause(ctx, calmTime)
		endBurst := d.burst(ctx)
		pause(ctx, 2*time.Second)
		leader := d.zoneOfLeader(workers)
		if leader < 0 {
			return v, fmt.Errorf("no worker has got an order")
		}
		if s.trouble {
			between.isolate(leader, true)
			s.log("control-%d, which leads, is cut off from the other control instances", leader)
		}
		cutAt := time.Now()
		pause(ctx, firstBurst)
		endBurst()
		pause(ctx, time.Until(cutAt.Add(secondBurst)))
		endBurst = d.burst(ctx)
		pause(ctx, time.Until(cutAt.Add(cutTime)))
		endBurst()
		healed = append(healed, time.Now())
		between.isolate(leader, false)
		s.log("the cut has ended")
	}
	return judgeHolders(s, workers, healed), nil
}

// burst lets clients ask for rare adapters at all entries until the returned function is called.
func (d *deployment) burst(ctx context.Context) (end func()) {
	asking, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	for e := range entriesInAll {
		clients.Add(1)
		go func() {
			defer clients.Done()
			d.askForAdapters(asking, e)
		}()
	}
	return func() {
		stop()
		clients.Wait()
	}
}

func (d *deployment) askForAdapters(ctx context.Context, entry int) {
	var clients sync.WaitGroup
	for pause(ctx, time.Second/askedPerEntry) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			request, err := d.request(ctx, entry, fmt.Sprintf("ask-%d-%d", entry, time.Now().UnixNano()), 2)
			if err != nil {
				return
			}
			request.Header.Set("X-Model", "daka510000/a"+strconv.Itoa(1+rand.IntN(adaptersAsked)))
			response, err := d.callers.Do(request)
			if err != nil {
				return
			}
			defer func() { _ = response.Body.Close() }()
			_, _ = io.Copy(io.Discard, response.Body) // what a client does not get is not judged here
		}()
	}
	clients.Wait()
}

// zoneOfLeader returns the zone of the control instance that gave the last order, or -1.
func (d *deployment) zoneOfLeader(workers []*worker) int {
	var last received
	for _, w := range workers {
		for _, o := range w.allReceived() {
			if o.at.After(last.at) {
				last = o
			}
		}
	}
	return slices.IndexFunc(zones, func(z string) bool { return last.holder == "control-"+z+"-1" })
}

// judgeHolders counts the orders that a worker accepted from a holder within the lease after one of another holder.
func judgeHolders(s *stand, workers []*worker, healed []time.Time) verdict {
	turns, orders, lower := 0, 0, 0
	shortest := time.Duration(0)
	for _, w := range workers {
		var before received
		for _, o := range w.allReceived() {
			if o.outcome != http.StatusAccepted && o.outcome != http.StatusOK {
				continue // it was refused
			}
			if slices.ContainsFunc(healed, func(at time.Time) bool { return o.at.After(at) && o.at.Sub(at) < thawTime }) {
				continue
			}
			orders++
			gap := o.at.Sub(before.at)
			if before.holder != "" && o.holder != before.holder {
				s.log("worker %s: order of %s, token %d, %v after one of %s, token %d", w.id, o.holder, o.token, gap.Round(time.Millisecond), before.holder, before.token)
				if gap < leaseTime {
					turns++
					if shortest == 0 || gap < shortest {
						shortest = gap
					}
				}
				if o.token < before.token {
					lower++
				}
			}
			before = o
		}
	}
	return verdict{
		broken: turns > 0 || lower > 0,
		reason: fmt.Sprintf("%d orders; %d times a worker got an order of another holder within %v after one of the former, the soonest after %v; %d times with a lower token",
			orders, turns, leaseTime, shortest.Round(time.Millisecond), lower),
	}
}
