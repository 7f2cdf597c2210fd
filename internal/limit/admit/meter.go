package admit

import (
	"math"
	"time"
)

// meterWindow smooths demand: short enough to follow a move within seconds, long enough to average bursts.
const meterWindow = time.Second

// meter is an exponentially weighted mean rate in tokens per second.
type meter struct {
	rate float64
	last time.Time
}

func (m *meter) add(now time.Time, tokens float64) {
	m.decay(now)
	m.rate = max(0, m.rate+tokens/meterWindow.Seconds())
}

func (m *meter) decay(now time.Time) float64 {
	if elapsed := now.Sub(m.last); elapsed > 0 {
		m.rate *= math.Exp(-elapsed.Seconds() / meterWindow.Seconds())
		m.last = now
	}
	return m.rate
}
