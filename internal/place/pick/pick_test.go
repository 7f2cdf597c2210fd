package pick_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/base/locality"
	"lycheevale/internal/place/pick"
)

var epoch = time.Unix(1_800_000_000, 0)

func candidates(n int) (list []pick.Endpoint) {
	for i := range n {
		list = append(list, pick.Endpoint{ID: fmt.Sprint(i), Slots: 10})
	}
	return list
}

// choiceShares chooses 1000 times and returns the share of the choices of each endpoint.
func choiceShares(p *pick.Picker, now time.Time, list []pick.Endpoint) map[string]float64 {
	const n = 1000
	got := map[string]float64{}
	for range n {
		if id, ok := p.Choose(now, list, nil); ok {
			got[id] += 1.0 / n
		}
	}
	return got
}

// Guards against sending as many requests to an endpoint that fails half of them, while it reports itself as healthy, as
// to the others.
func TestFailingEndpointIsAvoided(t *testing.T) {
	c := quicktest.New(t)
	p := pick.New(pick.Defaults(), 1)
	for i := range 40 {
		for j := range 3 {
			o := pick.Served
			if j == 0 && i%2 == 0 {
				o = pick.Failed
			}
			p.Observe(epoch, fmt.Sprint(j), o, 40*time.Millisecond)
		}
	}
	c.Check(choiceShares(p, epoch, candidates(3))["0"] < 0.05, quicktest.IsTrue)
}

// Dozens of entries choose among the holders of a popular adapter by the same backlogs, which are half a second old, as on
// spw-repair-grown. Guards against sending all requests of that time to the holder whose backlog was the shortest, and against ignoring
// backlogs.
func TestEntriesSpreadOverBacklogs(t *testing.T) {
	c := quicktest.New(t)
	list := candidates(10)
	for i := range list {
		list[i].Backlog = 300 * time.Millisecond
	}
	list[0].Backlog = 0
	list[1].Backlog = 1500 * time.Millisecond
	shares := choiceShares(pick.New(pick.Defaults(), 1), epoch, list)
	c.Check(shares["0"] < 0.75, quicktest.IsTrue, quicktest.Commentf("%v", shares))
	c.Check(shares["0"] > shares["5"], quicktest.IsTrue, quicktest.Commentf("%v", shares))
	c.Check(shares["1"], quicktest.Equals, 0.0)
	// Without backlogs the nearest one is preferred as before.
	near := []pick.Endpoint{{ID: "near", Slots: 10}, {ID: "far", Slots: 10, Distance: locality.Far}}
	c.Check(choiceShares(pick.New(pick.Defaults(), 1), epoch, near)["near"] > 0.95, quicktest.IsTrue)
}

// Guards against sending as many requests to an endpoint that became five times slower as to the others, and against
// avoiding it forever.
func TestSlowEndpointIsAvoidedForAWhile(t *testing.T) {
	c := quicktest.New(t)
	p := pick.New(pick.Defaults(), 1)
	for range 20 {
		for j := range 3 {
			delay := 60 * time.Millisecond
			if j == 0 {
				delay *= 5
			}
			p.Observe(epoch, fmt.Sprint(j), pick.Served, delay)
		}
	}
	c.Check(choiceShares(p, epoch, candidates(3))["0"] < 0.05, quicktest.IsTrue)
	c.Check(choiceShares(p, epoch.Add(20*time.Second), candidates(3))["0"] > 0.2, quicktest.IsTrue)
}

// Guards against sending requests to an ejected endpoint while others are available, and against refusing requests when
// all endpoints are ejected.
func TestEjection(t *testing.T) {
	c := quicktest.New(t)
	p := pick.New(pick.Defaults(), 1)
	p.Observe(epoch, "0", pick.Unreachable, 0)
	c.Check(choiceShares(p, epoch, candidates(2))["0"], quicktest.Equals, 0.0)
	c.Check(choiceShares(p, epoch, candidates(1))["0"] > 0.99, quicktest.IsTrue)
}

// Guards against overfilling an endpoint that other entries use as well.
func TestFullEndpointTakesNoMore(t *testing.T) {
	c := quicktest.New(t)
	p := pick.New(pick.Defaults(), 1)
	list := []pick.Endpoint{{ID: "0", Slots: 4, OtherEntries: 4}}
	p.Start("0")
	_, ok := p.Choose(epoch, list, nil)
	c.Check(ok, quicktest.IsFalse)
	p.End("0")
	_, ok = p.Choose(epoch, list, nil)
	c.Check(ok, quicktest.IsTrue)
}

// Guards against choosing a far endpoint while a near one is idle.
func TestNearEndpointIsPreferred(t *testing.T) {
	c := quicktest.New(t)
	list := candidates(2)
	list[1].Distance = locality.Far
	c.Check(choiceShares(pick.New(pick.Defaults(), 1), epoch, list)["1"], quicktest.Equals, 0.0)
}
