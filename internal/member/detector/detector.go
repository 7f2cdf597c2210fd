// Package detector is an accrual failure detector for links with a stated loss and delay.
package detector

import (
	"math"
	"time"
)

// smoothing is the weight of a new sample in the estimate of loss: about the last 50 heartbeats count.
const smoothing = 0.02

// delayDecay is the share of the observed delay that remains after each punctual heartbeat.
const delayDecay = 0.98

// tolerance absorbs rounding: six times -log10(0.1) is slightly less than 6.
const tolerance = 1e-9

// Detector accrues suspicion with each heartbeat that a peer misses. A missed heartbeat counts for
// -log10 of the share of heartbeats that the link loses, and the time by which the link delays
// heartbeats is waited out first. It is not safe for concurrent use.
type Detector struct {
	options Options
	peers   map[string]peer
}

type peer struct {
	last  time.Time
	loss  float64
	delay time.Duration
}

// New returns a detector without peers.
func New(opts ...Option) *Detector {
	o := Options{
		Interval:  defaultInterval,
		Loss:      defaultLoss,
		MaxLoss:   defaultMaxLoss,
		Delay:     defaultDelay,
		MaxDelay:  defaultMaxDelay,
		Threshold: defaultThreshold,
		MaxPeers:  defaultMax,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return &Detector{options: o, peers: map[string]peer{}}
}

// Heartbeat records a sign of life. A new peer is ignored while the detector is full.
func (d *Detector) Heartbeat(now time.Time, id string) {
	p, known := d.peers[id]
	if !known {
		if len(d.peers) < d.options.MaxPeers {
			d.peers[id] = peer{last: now, loss: d.options.Loss, delay: d.options.Delay}
		}
		return
	}
	if now.Before(p.last) {
		return
	}
	d.peers[id] = d.learn(p, now)
}

// learn splits the time since the last heartbeat into whole intervals, which count as lost
// heartbeats, and a remainder, which counts as delay.
func (d *Detector) learn(p peer, now time.Time) peer {
	gap := now.Sub(p.last)
	missed := max(0, int(gap/d.options.Interval)-1)
	late := gap - time.Duration(missed+1)*d.options.Interval
	for range min(missed, int(1/smoothing)) {
		p.loss += smoothing * (1 - p.loss)
	}
	p.loss -= smoothing * p.loss
	p.loss = min(max(p.loss, d.options.Loss), d.options.MaxLoss)
	p.delay = max(late, time.Duration(float64(p.delay)*delayDecay))
	p.delay = min(max(p.delay, d.options.Delay), d.options.MaxDelay)
	p.last = now
	return p
}

// Suspicion returns -log10 of the chance that a live peer would have been silent for so long, or 0
// for an unknown peer.
func (d *Detector) Suspicion(now time.Time, id string) float64 {
	p, known := d.peers[id]
	if !known {
		return 0
	}
	silent := now.Sub(p.last) - p.delay
	if silent < d.options.Interval {
		return 0
	}
	missed := math.Floor(float64(silent) / float64(d.options.Interval))
	return missed * -math.Log10(p.loss)
}

// Suspect tells whether the suspicion of a peer has reached the threshold. An unknown peer is
// suspect, because nothing speaks for it.
func (d *Detector) Suspect(now time.Time, id string) bool {
	if _, known := d.peers[id]; !known {
		return true
	}
	return d.Suspicion(now, id) >= d.options.Threshold-tolerance
}

// Remove forgets a peer.
func (d *Detector) Remove(id string) {
	delete(d.peers, id)
}

// Bound returns the time after its last heartbeat by which a crashed peer is suspect in any case.
func (d *Detector) Bound() time.Duration {
	return d.options.MaxDelay + time.Duration(missesToSuspect(d.options.Threshold, d.options.MaxLoss))*d.options.Interval
}

func missesToSuspect(threshold, loss float64) int {
	return int(math.Ceil(threshold/-math.Log10(loss) - tolerance))
}
