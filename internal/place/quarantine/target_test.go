package quarantine_test

import (
	"fmt"
	"testing"

	"github.com/frankban/quicktest"

	"lycheevale/internal/place/quarantine"
)

var target = quarantine.Target([]byte("GET"), []byte("/lookup/x"))

// A deadly request comes with another query each time. Guards against never finding it, and against blaming its customer or a part of its prompt.
func TestTargetIsBlamed(t *testing.T) {
	c := quicktest.New(t)
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	for n := range 3 {
		c.Check(d.Blame(at(900*n)), quicktest.HasLen, 0)
		d.Record(at(900*n), "entry", crashOf(n, false, sent(fmt.Sprint("query ", n), target, "part", customer)))
	}
	c.Check(blamed(d, at(9000)), quicktest.DeepEquals, sorted(target))
}

// One query of a path is deadly, and sound ones begin. Guards against refusing the path, also while no endpoint is up that could begin one.
func TestTargetOfSoundRequestsIsNotBlamed(t *testing.T) {
	for name, begins := range map[string]bool{"begins": true, "outage": false} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			d := quarantine.NewDetector(quarantine.DefaultOptions())
			d.RecordBegins(at(0), begin(0, target, customer))
			for n := range 9 {
				requests := [][]string{sent(fmt.Sprint("sound ", n), target, customer), sent(fmt.Sprint("waiting ", n), target, customer)}
				if n < 4 {
					requests = append(requests, sent("deadly", target, customer))
				}
				d.Record(at(900*n+900), "entry", crashOf(n, false, requests...))
				if begins {
					d.RecordBegins(at(900*n+1200), begin(0, target, customer))
				}
			}
			c.Check(blamed(d, at(10000)), quicktest.DeepEquals, sorted(exact("deadly")))
		})
	}
}

// Guards against sending deadly requests that differ in their query at once, and against holding all requests of a path that has begun.
func TestTargetIsHeldUnlessItHasBegun(t *testing.T) {
	c := quicktest.New(t)
	d := quarantine.NewDetector(quarantine.DefaultOptions())
	for n := range 2 {
		d.Record(at(10*n), "entry", crashOf(n, false, sent(fmt.Sprint("query ", n), target, customer)))
	}
	c.Check(d.Held(), quicktest.DeepEquals, []string{target})
	d.RecordBegins(at(500), begin(0, target))
	for n := range 5 {
		d.Record(at(1000+10*n), "entry", crashOf(2+n, false, sent(fmt.Sprint("another ", n), target, customer)))
	}
	c.Check(d.Held(), quicktest.HasLen, 0)
}
