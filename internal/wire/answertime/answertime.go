// Package answertime learns how long another side takes to answer, so that a lost answer is noticed soon without taking slow
// answers for lost ones.
package answertime

import "time"

// Estimate is the smoothed answer time and its deviation, as TCP keeps them for its retransmissions (RFC 6298). The zero value has
// seen nothing. It is not safe for concurrent use.
type Estimate struct {
	mean, deviation time.Duration
	seen            bool
}

// Weights of RFC 6298.
const (
	meanShare      = 8
	deviationShare = 4
	deviations     = 4 // beyond the mean, after which an answer counts as lost
)

// Observe records the time that an answer took.
func (e *Estimate) Observe(d time.Duration) {
	if !e.seen {
		e.mean, e.deviation, e.seen = d, d/2, true
		return
	}
	e.deviation += ((d - e.mean).Abs() - e.deviation) / deviationShare
	e.mean += (d - e.mean) / meanShare
}

// Timeout returns the time after which an answer counts as lost, between least and most; most while nothing has been seen.
func (e *Estimate) Timeout(least, most time.Duration) time.Duration {
	if !e.seen {
		return most
	}
	return min(max(e.mean+deviations*e.deviation, least), most)
}
