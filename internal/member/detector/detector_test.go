package detector_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"lycheevale/internal/base/seeded"

	"pgregory.net/rapid"

	"lycheevale/internal/member/detector"
)

// seed is fixed so that every run generates the same schedules.
const seed = "20261204"

func TestMain(m *testing.M) { seeded.Main(m, seed, 500) }

var epoch = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// simulateLink sends heartbeats over a link. It returns how many of them were due while the peer was suspect, and
// the time from the last heartbeat before the crash until the peer was suspect.
func simulateLink(random *rand.Rand, d *detector.Detector, beats int, loss float64, delay time.Duration) (suspected int, detected time.Duration) {
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

// Guards against a detector that suspects a live peer on a lossy or slow link, and against one that does not
// detect a crash. At threshold 6, one of 10^6 heartbeats may be due during a false suspicion: none is expected in
// 500 runs of 200 heartbeats.
func TestLossyLinkIsNotSuspectAndCrashIsDetected(t *testing.T) {
	total := 0
	rapid.Check(t, func(rt *rapid.T) {
		network := rapid.SliceOfN(rapid.Byte(), 32, 32).Draw(rt, "network")
		random := rand.New(rand.NewChaCha8([32]byte(network)))
		loss := rapid.Float64Range(0, 0.2).Draw(rt, "loss")
		delay := time.Duration(rapid.IntRange(0, 900).Draw(rt, "delay")) * time.Millisecond
		d := detector.New(detector.WithLoss(0.2, 0.3), detector.WithDelay(900*time.Millisecond, 2*time.Second))
		suspected, detected := simulateLink(random, d, 200, loss, delay)
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

// Guards against a check that does not detect a false suspicion.
func TestMutationIsDetected(t *testing.T) {
	d := detector.New(detector.WithThreshold(1), detector.WithLoss(0.01, 0.01))
	random := rand.New(rand.NewPCG(1, 1))
	if suspected, _ := simulateLink(random, d, 500, 0.2, 900*time.Millisecond); suspected == 0 {
		t.Fatal("no false suspicion by a detector that assumes 1% loss on a link with 20% loss")
	}
}

// Guards against unbounded memory, and against unknown peers that are not suspect.
func TestUnknownPeers(t *testing.T) {
	d := detector.New(detector.WithMaxPeers(1))
	d.Heartbeat(epoch, "a")
	d.Heartbeat(epoch, "b")
	if d.Suspect(epoch, "a") || !d.Suspect(epoch, "b") {
		t.Fatal("want only the second peer, which exceeds MaxPeers, to be suspect")
	}
	d.Remove("a")
	if !d.Suspect(epoch, "a") {
		t.Fatal("a removed peer is not suspect")
	}
}
