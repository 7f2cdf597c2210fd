// Package detector implements an accrual failure detector for links with known limits of loss and delay.
package detector

import (
	"math"
	"time"
)

// smoothing is the weight of a new sample in the moving average of the loss, which covers about the last 50
// heartbeats.
const smoothing = 0.02

// delayDecay is the factor by which the estimated delay falls after each heartbeat that arrives on time.
const delayDecay = 0.98

// tolerance compensates for rounding: six times -log10(0.1) is slightly less than 6.
const tolerance = 1e-9

// Detector raises the suspicion of a peer with each missed heartbeat. A missed heartbeat adds -log10 of the
// estimated loss of the link. It counts as missed only after the estimated delay of the link. A Detector is not
// safe for concurrent use.
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
		MinLoss:   defaultMinLoss,
		MaxLoss:   defaultMaxLoss,
		MinDelay:  defaultMinDelay,
		MaxDelay:  defaultMaxDelay,
		Threshold: defaultThreshold,
		MaxPeers:  defaultMaxPeers,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return &Detector{options: o, peers: map[string]peer{}}
}

// Heartbeat records a heartbeat of a peer. A new peer is ignored while the detector holds MaxPeers peers.
func (d *Detector) Heartbeat(now time.Time, id string) {
	p, known := d.peers[id]
	if !known {
		if len(d.peers) < d.options.MaxPeers {
			d.peers[id] = peer{last: now, loss: d.options.MinLoss, delay: d.options.MinDelay}
		}
		return
	}
	if now.Before(p.last) {
		return
	}
	d.peers[id] = d.update(p, now)
}

// update splits the time since the last heartbeat into whole intervals, which count as lost
// heartbeats, and a remainder, which counts as delay.
func (d *Detector) update(p peer, now time.Time) peer {
	gap := now.Sub(p.last)
	missed := max(0, int(gap/d.options.Interval)-1)
	late := gap - time.Duration(missed+1)*d.options.Interval
	for range min(missed, int(1/smoothing)) {
		p.loss += smoothing * (1 - p.loss)
	}
	p.loss -= smoothing * p.loss
	p.loss = min(max(p.loss, d.options.MinLoss), d.options.MaxLoss)
	p.delay = max(late, time.Duration(float64(p.delay)*delayDecay))
	p.delay = min(max(p.delay, d.options.MinDelay), d.options.MaxDelay)
	p.last = now
	return p
}

// Suspicion returns -log10 of the probability that a live peer sends nothing for so long, or 0 for an unknown
// peer.
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

// Suspect reports whether the suspicion of a peer has reached the threshold. An unknown peer is suspect, because
// no heartbeat of it was received.
func (d *Detector) Suspect(now time.Time, id string) bool {
	if _, known := d.peers[id]; !known {
		return true
	}
	return d.Suspicion(now, id) >= d.options.Threshold-tolerance
}

// Remove removes a peer.
func (d *Detector) Remove(id string) {
	delete(d.peers, id)
}

// Bound returns the longest time from the last heartbeat of a crashed peer until it is suspect.
func (d *Detector) Bound() time.Duration {
	return d.options.MaxDelay + time.Duration(missesToSuspect(d.options.Threshold, d.options.MaxLoss))*d.options.Interval
}

func missesToSuspect(threshold, loss float64) int {
	return int(math.Ceil(threshold/-math.Log10(loss) - tolerance))
}
