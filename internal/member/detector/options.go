package detector

import "time"

// Defaults of the options; docs/membership.md derives the bounds that follow from them.
const (
	defaultInterval  = time.Second
	defaultLoss      = 0.05
	defaultMaxLoss   = 0.3
	defaultDelay     = 250 * time.Millisecond
	defaultMaxDelay  = 2 * time.Second
	defaultThreshold = 6
	defaultMax       = 1100
)

// Options are the settings of a Detector.
type Options struct {
	Interval  time.Duration // between two heartbeats of a live peer
	Loss      float64       // least share of lost heartbeats to reckon with
	MaxLoss   float64       // greatest share of lost heartbeats to reckon with
	Delay     time.Duration // least delay of a heartbeat to reckon with
	MaxDelay  time.Duration // greatest delay of a heartbeat to reckon with
	Threshold float64       // suspicion at which a peer is suspect; -log10 of the chance that it lives
	MaxPeers  int           // peers held at most
}

// Option sets one of the Options.
type Option func(*Options)

// WithInterval sets the time between two heartbeats of a live peer.
func WithInterval(d time.Duration) Option {
	return func(o *Options) { o.Interval = d }
}

// WithLoss sets the least and the greatest share of lost heartbeats to reckon with.
func WithLoss(least, greatest float64) Option {
	return func(o *Options) { o.Loss, o.MaxLoss = least, greatest }
}

// WithDelay sets the least and the greatest delay of a heartbeat to reckon with.
func WithDelay(least, greatest time.Duration) Option {
	return func(o *Options) { o.Delay, o.MaxDelay = least, greatest }
}

// WithThreshold sets the suspicion at which a peer is suspect.
func WithThreshold(v float64) Option {
	return func(o *Options) { o.Threshold = v }
}

// WithMaxPeers sets how many peers are held at most.
func WithMaxPeers(n int) Option {
	return func(o *Options) { o.MaxPeers = n }
}
