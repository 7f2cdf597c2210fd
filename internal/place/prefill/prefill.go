// Package prefill estimates how long endpoints take to read the prompts that wait at them. Engines read prompts one after the other,
// so that the time to the first event grows with the tokens of the requests that have not begun, long before all slots are in use.
package prefill

import "time"

// Speed is an estimate of the time to read a token, over all endpoints. It follows the lower quartile of the observations, since
// most delays contain waits that have other causes. The zero value knows nothing and estimates no delay.
type Speed struct {
	perToken float64 // nanoseconds
	samples  int
}

const (
	// step is the relative change of the estimate by an observation at the quartile's weights.
	step = 0.08
	// lowerQuartile is the share of the observations below the estimate.
	lowerQuartile = 0.25
	// minTokens is the size of a prompt below which the delay says little about the time to read it.
	minTokens = 200
	// minSamples is the number of observations before the estimate is used.
	minSamples = 5
)

// Observe records the time from the sending of a request until its first event, without the latency of the network. tokens are the
// prompts that were waiting at the endpoint, including its own.
func (s *Speed) Observe(tokens int, delay time.Duration) {
	if tokens < minTokens || delay <= 0 {
		return
	}
	sample := float64(delay) / float64(tokens)
	s.samples++
	switch {
	case s.samples == 1:
		s.perToken = sample
	case sample < s.perToken:
		s.perToken *= 1 - step*(1-lowerQuartile)
	default:
		s.perToken *= 1 + step*lowerQuartile
	}
}

// Delay returns the estimated time to read a number of tokens.
func (s *Speed) Delay(tokens int) time.Duration {
	if s.samples < minSamples {
		return 0
	}
	return time.Duration(s.perToken * float64(max(tokens, 0)))
}
