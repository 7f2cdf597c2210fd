// Package answertime estimates the answer time of an endpoint, so that lost answers are detected early without treating slow
// answers as lost.
package answertime

import "time"

// Estimate holds the smoothed answer time and its deviation, as for TCP's retransmission timeout (RFC 6298). The zero value has no
// observations. It is not safe for concurrent use.
type Estimate struct {
	mean, deviation time.Duration
	observed        bool
}

// Weights of RFC 6298; a new observation counts for 1/meanWeight and 1/deviationWeight.
const (
	meanWeight      = 8
	deviationWeight = 4
	deviations      = 4 // number of deviations above the mean after which an answer counts as lost
)

// Observe records the time that an answer took.
func (e *Estimate) Observe(d time.Duration) {
	if !e.observed {
		e.mean, e.deviation, e.observed = d, d/2, true
		return
	}
	e.deviation += ((d - e.mean).Abs() - e.deviation) / deviationWeight
	e.mean += (d - e.mean) / meanWeight
}

// Timeout returns the time after which an answer counts as lost, between minTimeout and maxTimeout. It is maxTimeout before the first
// observation.
func (e *Estimate) Timeout(minTimeout, maxTimeout time.Duration) time.Duration {
	if !e.observed {
		return maxTimeout
	}
	return min(max(e.mean+deviations*e.deviation, minTimeout), maxTimeout)
}
