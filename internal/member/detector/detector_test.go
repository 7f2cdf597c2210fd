package detector_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"lycheevale/internal/base/seeded"

	"pgregory.net/rapid"

	"lycheevale/internal/member/detector"
)

// seed makes each run of CI draw the same schedules.
const seed = "20261204"

func TestMain(m *testing.M) { seeded.Main(m, seed, 500) }

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// run sends heartbeats over a link and returns how many of them were due while the peer was
// suspect, and when the peer was suspect after its crash.
func run(random *rand.Rand, d *detector.Detector, beats int, loss float64, delay time.Duration) (suspected int, detected time.Duration) {
	now, last, pending := epoch, epoch, []time.Time{}
	d.Heartbeat(now, "p")
	for i := range beats {
		sent := epoch.Add(time.Duration(i+1) * time.Second)
		if random.Float64() >= loss {
			pending = append(pending, sent.Add(time.Duration(random.Int64N(int64(delay)+1))))
		}
		for now = sent; now.Before(sent.Add(time.Second)); now = now.Add(50 * time.Millisecond) {
			for len(pending) > 0 && !pending[0].After(now) {
				d.Heartbeat(pending[0], "p")
				last, pending = pending[0], pending[1:]
			}
			if d.Suspect(now, "p") {
				suspected++
				break
			}
		}
	}
	for now = last; !d.Suspect(now, "p"); now = now.Add(10 * time.Millisecond) {
	}
	return suspected, now.Sub(last)
}

// Guards against a detector that a lossy or slow link trips, and against one that never detects. At
// threshold 6, one of 10^6 heartbeats may be due during a false suspicion: none of 500 runs of 200.
func TestLossyLinkIsNotSuspectAndCrashIsDetected(t *testing.T) {
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		network := rapid.SliceOfN(rapid.Byte(), 32, 32).Draw(rt, "network")
		random := rand.New(rand.NewChaCha8([32]byte(network)))
		loss := rapid.Float64Range(0, 0.2).Draw(rt, "loss")
		delay := time.Duration(rapid.IntRange(0, 900).Draw(rt, "delay")) * time.Millisecond
		d := detector.New(detector.WithLoss(0.2, 0.3), detector.WithDelay(900*time.Millisecond, 2*time.Second))
		suspected, detected := run(random, d, 200, loss, delay)
		total += suspected
		if suspected > 0 {
			rt.Fatalf("suspected %d times at loss %.2f and delay %v", suspected, loss, delay)
		}
		if bound := d.Bound(); detected > bound {
			rt.Fatalf("detected after %v, bound %v", detected, bound)
		}
	})
	t.Logf("%d false suspicions", total)
}

// Guards against a check that could not detect a false suspicion.
func TestMutationIsDetected(t *testing.T) {
	d := detector.New(detector.WithThreshold(1), detector.WithLoss(0.01, 0.01))
	random := rand.New(rand.NewPCG(1, 1))
	if suspected, _ := run(random, d, 500, 0.2, 900*time.Millisecond); suspected == 0 {
		t.Fatal("a detector that ignores the loss of the link was not caught")
	}
}

// Guards against unbounded memory and against trust in peers that were never heard of.
func TestUnknownPeers(t *testing.T) {
	d := detector.New(detector.WithMaxPeers(1))
	d.Heartbeat(epoch, "a")
	d.Heartbeat(epoch, "b")
	if d.Suspect(epoch, "a") || !d.Suspect(epoch, "b") {
		t.Fatal("only the first peer fits and is trusted")
	}
	d.Remove("a")
	if !d.Suspect(epoch, "a") {
		t.Fatal("a removed peer is trusted")
	}
}
