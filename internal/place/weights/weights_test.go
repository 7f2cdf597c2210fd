package weights_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/place/weights"
)

var epoch = time.Unix(1_800_000_000, 0)

func empty(id string) weights.Endpoint {
	return weights.Endpoint{ID: id, FreeMB: 36_000, Choice: []weights.Model{{Name: "m", Size: 34_000}}}
}

// Guards against leaving endpoints without a model after a crash, as seen on the bench, where half of the places stayed
// free while requests were refused for lack of places.
func TestEmptyEndpointGetsModel(t *testing.T) {
	c := quicktest.New(t)
	p := weights.New(epoch, 2.9, weights.Defaults())
	full := empty("b")
	full.Models = []string{"m"}
	loads := p.Plan(epoch.Add(6*time.Second), 2.9, []weights.Endpoint{empty("a"), full})
	c.Check(loads, quicktest.DeepEquals, []weights.Load{{Endpoint: "a", Model: "m"}})
	c.Check(p.Plan(epoch.Add(7*time.Second), 2.9, []weights.Endpoint{empty("a"), full}), quicktest.HasLen, 0)
	c.Check(p.Plan(epoch.Add(13*time.Second), 2.9, []weights.Endpoint{empty("a"), full}), quicktest.HasLen, 1)
}

// Guards against starting more loads in a window than the store allows when all endpoints restart at the same time.
func TestLoadsStayWithinStoreRate(t *testing.T) {
	c := quicktest.New(t)
	const rate = 1.5
	options := weights.Defaults()
	options.MaxLoads = 100
	p := weights.New(epoch, rate, options)
	var endpoints []weights.Endpoint
	for i := range 60 {
		endpoints = append(endpoints, empty(fmt.Sprint(i)))
	}
	var begun []time.Time
	for now := epoch; now.Before(epoch.Add(time.Minute)); now = now.Add(100 * time.Millisecond) {
		for range p.Plan(now, rate, endpoints) {
			begun = append(begun, now)
		}
		inWindow := 0
		for _, at := range begun {
			if now.Sub(at) < 5*time.Second {
				inWindow++
			}
		}
		c.Assert(float64(inWindow) <= rate*5, quicktest.IsTrue)
	}
	c.Check(len(begun) > 50, quicktest.IsTrue)
}

// Guards against a model without a holder while another one has several.
func TestRarestModelComesFirst(t *testing.T) {
	c := quicktest.New(t)
	choice := []weights.Model{{Name: "big", Size: 99_000}, {Name: "one", Size: 10}, {Name: "two", Size: 10}}
	p := weights.New(epoch, 10, weights.Defaults())
	loads := p.Plan(epoch.Add(time.Minute), 10, []weights.Endpoint{
		{ID: "a", Models: []string{"one"}, FreeMB: 50, Choice: choice}, {ID: "b", FreeMB: 50, Choice: choice},
		{ID: "c", FreeMB: 50, Choice: choice},
	})
	c.Check(loads, quicktest.DeepEquals, []weights.Load{{Endpoint: "b", Model: "two"}, {Endpoint: "c", Model: "one"}})
}
