package silence_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/place/silence"
)

var epoch = time.Unix(1_800_000_000, 0)

// leaveTime returns the time after which a request sent at the epoch leaves its endpoint, or 0 if it stays for five seconds.
func leaveTime(w *silence.Watch, accepts, begun bool) time.Duration {
	for at := time.Duration(0); at < 5*time.Second; at += 100 * time.Millisecond {
		now := epoch.Add(at)
		switch w.Decide(now, silence.Attempt{Endpoint: "e", ProgressAt: epoch, Streaming: begun}) {
		case silence.Leave:
			return at
		case silence.Probe:
			w.RecordProbe(now, "e", accepts)
		case silence.Wait:
		}
	}
	return 0
}

// Guards against lost requests, as seen on the larger deployment: requests left endpoints that were only slow, when engines
// were so busy that one first event in ten took a second and a half.
func TestSlowEndpointIsNotLeft(t *testing.T) {
	c := quicktest.New(t)
	w := silence.New(silence.Defaults())
	for i := range 400 {
		delay := 300 * time.Millisecond
		if i%10 == 0 {
			delay = 1500 * time.Millisecond
		}
		w.RecordFirstEvent(delay)
	}
	c.Check(leaveTime(w, true, false) > 1500*time.Millisecond, quicktest.IsTrue)
}

// Guards against waiting for an unreachable endpoint as long as for a slow one.
func TestUnreachableEndpointIsLeftAfterProbe(t *testing.T) {
	c := quicktest.New(t)
	for _, begun := range []bool{false, true} {
		w := silence.New(silence.Defaults())
		for range 400 {
			w.RecordFirstEvent(2 * time.Second)
		}
		at := leaveTime(w, false, begun)
		c.Check(at > 700*time.Millisecond && at < time.Second, quicktest.IsTrue, quicktest.Commentf("%v", at))
	}
}

// Guards against leaving an endpoint that answers other requests, and against probing it once for each of its requests.
func TestActiveEndpointIsNeitherProbedNorLeft(t *testing.T) {
	c := quicktest.New(t)
	w := silence.New(silence.Defaults())
	for at := time.Duration(0); at < 3*time.Second; at += 100 * time.Millisecond {
		w.RecordEvents(epoch.Add(at), "e")
		c.Check(w.Decide(epoch.Add(at), silence.Attempt{Endpoint: "e", ProgressAt: epoch}), quicktest.Equals, silence.Wait)
	}
	first := w.Decide(epoch.Add(3800*time.Millisecond), silence.Attempt{Endpoint: "e", ProgressAt: epoch.Add(3 * time.Second)})
	second := w.Decide(epoch.Add(3800*time.Millisecond), silence.Attempt{Endpoint: "e", ProgressAt: epoch.Add(3 * time.Second)})
	c.Check([]silence.Action{first, second}, quicktest.DeepEquals, []silence.Action{silence.Probe, silence.Wait})
}

func ExampleWatch_Decide() {
	w := silence.New(silence.Defaults())
	sent := time.Unix(1_800_000_000, 0)
	f := silence.Attempt{Endpoint: "e", ProgressAt: sent}
	fmt.Println(w.Decide(sent.Add(100*time.Millisecond), f) == silence.Wait)
	// Output: true
}

// A stream has no event for seconds while its endpoint serves other streams. Guards against a stalled stream that never leaves, and against
// moving sound streams where long pauses are usual.
func TestStalledStreamLeavesLiveEndpoint(t *testing.T) {
	c := quicktest.New(t)
	for _, test := range []struct {
		pause time.Duration // between events of other streams
		quiet time.Duration // of this one
		want  silence.Action
	}{
		{50 * time.Millisecond, time.Second, silence.Wait},
		{50 * time.Millisecond, 1700 * time.Millisecond, silence.Leave},
		{900 * time.Millisecond, 3 * time.Second, silence.Wait},
		{900 * time.Millisecond, 4 * time.Second, silence.Leave},
	} {
		w := silence.New(silence.Defaults())
		for range 400 {
			w.RecordPause(test.pause)
		}
		now := epoch.Add(test.quiet)
		w.RecordEvents(now, "e")
		got := w.Decide(now, silence.Attempt{Endpoint: "e", ProgressAt: epoch, Streaming: true})
		c.Check(got, quicktest.Equals, test.want, quicktest.Commentf("%+v", test))
	}
}

// The only request at an endpoint has a prompt that takes seconds to read. Guards against leaving it for its silence.
func TestLongPromptIsNotLeft(t *testing.T) {
	c := quicktest.New(t)
	w := silence.New(silence.Defaults())
	a := silence.Attempt{Endpoint: "e", ProgressAt: epoch, Expected: 2 * time.Second}
	w.RecordProbe(epoch.Add(2*time.Second), "e", true)
	c.Check(w.Decide(epoch.Add(2900*time.Millisecond), a), quicktest.Not(quicktest.Equals), silence.Leave)
	c.Check(w.Decide(epoch.Add(3100*time.Millisecond), a), quicktest.Equals, silence.Leave)
}
