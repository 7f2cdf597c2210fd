package admit

import (
	"sync"
	"time"

	"lycheevale/internal/limit/bucket"
)

// centralBucket is an exact bucket with a FIFO queue and no message delay. One of them is the reference; one for each data
// centre with an even part of the limit is the static baseline.
type centralBucket struct {
	mu     sync.Mutex
	bucket *bucket.Bucket
	queue  []centralWaiter
	timer  *time.Timer
}

type centralWaiter struct {
	n     float64
	grant chan bucket.Grant
}

func newCentralBucket(rate, burst float64) *centralBucket {
	c := &centralBucket{bucket: bucket.New(time.Now(), rate, burst)}
	c.timer = time.AfterFunc(time.Hour, c.serve)
	return c
}

// reserve admits requests whose tokens will be available in time. The costs ahead in the queue are upper bounds, so no
// request waits longer than estimated.
func (c *centralBucket) reserve(n float64, left time.Duration) (bucket.Grant, bool) {
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

func (c *centralBucket) serve() {
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

func (c *centralBucket) settle(g bucket.Grant, unused float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bucket.Credit(time.Now(), g, unused)
	c.bucket.Close(g)
	if len(c.queue) > 0 {
		c.timer.Reset(0)
	}
}

func runRequest(c *centralBucket, s sample, left time.Duration) bool {
	g, ok := c.reserve(s.n, left)
	if ok {
		time.Sleep(s.run)
		c.settle(g, s.n-s.final)
	}
	return ok
}
