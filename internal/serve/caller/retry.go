package caller

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// Bounds of the delay between attempts.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
)

// maxSavedRetries bounds the budget, so that retries saved up under low load cannot cause a retry storm.
const maxSavedRetries = 20

// retryBudget limits retries to a share of all requests, so that retries cannot amplify an overload.
type retryBudget struct {
	mu      sync.Mutex
	ratio   float64
	balance float64
}

func newRetryBudget(ratio float64) *retryBudget {
	return &retryBudget{ratio: ratio, balance: maxSavedRetries}
}

func (b *retryBudget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balance = min(maxSavedRetries, b.balance+b.ratio)
}

func (b *retryBudget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// backoffWait waits with exponential backoff and full jitter; it returns false if ctx ended first.
func backoffWait(ctx context.Context, attempt int) bool {
	limit := min(maxBackoff, minBackoff<<attempt)
	select {
	case <-ctx.Done():
		return false
	case <-time.After(rand.N(limit)):
		return true
	}
}
