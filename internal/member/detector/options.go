package detector

import "time"

// Defaults of the options; docs/membership.md derives the bounds that follow from them.
const (
	defaultInterval  = time.Second
	defaultMinLoss   = 0.05
	defaultMaxLoss   = 0.3
	defaultMinDelay  = 250 * time.Millisecond
	defaultMaxDelay  = 2 * time.Second
	defaultThreshold = 6
	defaultMaxPeers  = 1100
)

// Options are the settings of a Detector.
type Options struct {
	Interval  time.Duration // between two heartbeats of a live peer
	MinLoss   float64       // lower limit of the estimated share of lost heartbeats
	MaxLoss   float64       // upper limit of the estimated share of lost heartbeats
	MinDelay  time.Duration // lower limit of the estimated delay of a heartbeat
	MaxDelay  time.Duration // upper limit of the estimated delay of a heartbeat
	Threshold float64       // suspicion at which a peer is suspect: -log10 of the probability that it is alive
	MaxPeers  int           // largest number of peers
}

// Option sets one of the Options.
type Option func(*Options)

// WithInterval sets the time between two heartbeats of a live peer.
func WithInterval(d time.Duration) Option {
	return func(o *Options) { o.Interval = d }
}

// WithLoss sets the limits of the estimated share of lost heartbeats.
func WithLoss(least, greatest float64) Option {
	return func(o *Options) { o.MinLoss, o.MaxLoss = least, greatest }
}

// WithDelay sets the limits of the estimated delay of a heartbeat.
func WithDelay(least, greatest time.Duration) Option {
	return func(o *Options) { o.MinDelay, o.MaxDelay = least, greatest }
}

// WithThreshold sets the suspicion at which a peer is suspect.
func WithThreshold(v float64) Option {
	return func(o *Options) { o.Threshold = v }
}

// WithMaxPeers sets the largest number of peers.
func WithMaxPeers(n int) Option {
	return func(o *Options) { o.MaxPeers = n }
}
