package outage_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/member/outage"
)

var epoch = time.Unix(1_800_000_000, 0)

// Guards against callers that retry before a new leader answers, after the leader has failed.
func TestExpectedEndAfterElection(t *testing.T) {
	c := quicktest.New(t)
	o := outage.New(epoch)
	o.Answered()
	c.Check(o.ExpectedEnd(epoch).IsZero(), quicktest.IsTrue)
	o.LookupFailed(epoch, false)
	o.LookupFailed(epoch.Add(200*time.Millisecond), true)
	wait := o.ExpectedEnd(epoch.Add(300 * time.Millisecond)).Sub(epoch)
	c.Check(wait >= 1300*time.Millisecond && wait <= 2*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", wait))
	o.Answered()
	c.Check(o.ExpectedEnd(epoch.Add(time.Second)).IsZero(), quicktest.IsTrue)
}

// Guards against callers that retry while the machines of the control instances start. Both deployments had outages in which all
// control instances lost power.
func TestExpectedEndAfterRestart(t *testing.T) {
	c := quicktest.New(t)
	o := outage.New(epoch)
	for i := range 3 {
		o.LookupFailed(epoch.Add(time.Duration(i)*200*time.Millisecond), false)
	}
	wait := o.ExpectedEnd(epoch.Add(time.Second)).Sub(epoch)
	c.Check(wait >= 3*time.Second, quicktest.IsTrue, quicktest.Commentf("%v", wait))
}

// Guards against a time to retry that has already passed.
func TestExpectedEndIsInTheFuture(t *testing.T) {
	c := quicktest.New(t)
	o := outage.New(epoch)
	now := epoch.Add(time.Minute)
	c.Check(o.ExpectedEnd(now).After(now), quicktest.IsTrue)
}
