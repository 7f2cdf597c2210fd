package admit

import (
	"sync"
	"time"

	"lycheevale/internal/limit/bucket"
)

// central is an exact bucket with a first-in first-out queue that knows everything at once. One of them is the
// reference; one for each data centre with an even part of the limit is the static baseline.
type central struct {
	mu     sync.Mutex
	bucket *bucket.Bucket
	queue  []centralWaiter
	timer  *time.Timer
}

type centralWaiter struct {
	n     float64
	grant chan bucket.Grant
}

func newCentral(rate, burst float64) *central {
	c := &central{bucket: bucket.New(time.Now(), rate, burst)}
	c.timer = time.AfterFunc(time.Hour, c.serve)
	return c
}

// reserve admits what will be there in time; all costs ahead are upper bounds, so nobody waits longer.
func (c *central) reserve(n float64, left time.Duration) (bucket.Grant, bool) {
	c.mu.Lock()
	missing := n - c.bucket.Level(time.Now())
	for _, q := range c.queue {
		missing += q.n
	}
	if n > c.bucket.Burst() || missing > c.bucket.Rate()*left.Seconds() {
		c.mu.Unlock()
		return bucket.Grant{}, false
	}
	q := centralWaiter{n, make(chan bucket.Grant, 1)}
	c.queue = append(c.queue, q)
	c.mu.Unlock()
	c.serve()
	return <-q.grant, true
}

func (c *central) serve() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for len(c.queue) > 0 {
		g, ok := c.bucket.Take(now, c.queue[0].n)
		if !ok {
			at, _ := c.bucket.When(now, c.queue[0].n)
			c.timer.Reset(at.Sub(now))
			return
		}
		c.queue[0].grant <- g
		c.queue = c.queue[1:]
	}
}

func (c *central) settle(g bucket.Grant, unused float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bucket.Credit(time.Now(), g, unused)
	c.bucket.Close(g)
	if len(c.queue) > 0 {
		c.timer.Reset(0)
	}
}

func play(c *central, s sample, left time.Duration) bool {
	g, ok := c.reserve(s.n, left)
	if ok {
		time.Sleep(s.run)
		c.settle(g, s.n-s.final)
	}
	return ok
}
