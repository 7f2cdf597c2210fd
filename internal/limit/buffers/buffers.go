// Package buffers limits the memory that a process uses for the bodies of requests and answers, over all requests. Without a common
// limit, a hundred bodies of the largest size each take more memory than an instance has.
package buffers

import (
	"io"
	"slices"
	"sync"

	"github.com/zeebo/errs"
)

// ErrFull ends the reading of a body that the budget does not allow; test with errs.Is.
var ErrFull = errs.New("the memory for bodies of requests and answers is in use")

// Budget is the memory that all requests share. It is safe for concurrent use.
type Budget struct {
	mu    sync.Mutex
	limit int64
	used  int64
}

// New returns a budget of a number of bytes.
func New(limit int64) *Budget { return &Budget{limit: limit} }

// Lowest is the lowest priority; 0 is the highest.
const Lowest = 9

// reservedPart is the part of the budget that requests of the lowest priority leave to the others.
const reservedPart = 0.5

const (
	// smallAccount is the size in bytes of a usual request with its answer.
	smallAccount = 16 << 10
	// smallPart is the part of the budget that larger requests leave to these.
	smallPart = 0.125
)

// allowed returns the bytes up to which requests of a priority may fill the budget, so that the least urgent are refused first.
func (b *Budget) allowed(priority int) int64 {
	rank := float64(min(max(priority, 0), Lowest)) / Lowest
	return int64(float64(b.limit) * (1 - reservedPart*rank))
}

// Account is the part of a budget that one request uses. It is safe for concurrent use.
type Account struct {
	budget *Budget
	used   int64
}

// Account returns an empty account; Close returns its bytes.
func (b *Budget) Account() *Account { return &Account{budget: b} }

// Take adds bytes to the account, and reports false if the budget does not allow that for a priority.
func (a *Account) Take(n int64, priority int) bool {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	allowed := b.allowed(priority)
	if a.used+n > smallAccount {
		allowed = min(allowed, int64(float64(b.limit)*(1-smallPart)))
	}
	if b.used+n > allowed {
		return false
	}
	b.used += n
	a.used += n
	return true
}

// Used returns the bytes of the account.
func (a *Account) Used() int64 {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.used
}

// minRead is the size of the first read of a body in bytes; each further read doubles what has been read.
const minRead = 4 << 10

// Read appends to content until it holds limit bytes. The account takes the memory as it is needed. It returns what it has read also with an error.
func (a *Account) Read(content []byte, r io.Reader, limit int64, priority int) ([]byte, error) {
	for int64(len(content)) < limit {
		if len(content) == cap(content) {
			room := min(limit-int64(len(content)), max(int64(len(content)), minRead))
			if !a.Take(room, priority) {
				return content, ErrFull
			}
			content = slices.Grow(content, int(room))
		}
		n, err := r.Read(content[len(content):min(int64(cap(content)), limit)])
		content = content[:len(content)+n]
		if err == io.EOF {
			return content, nil
		}
		if err != nil {
			return content, err // also io.ErrUnexpectedEOF, the end of a connection in the middle of a body
		}
	}
	return content, nil
}

// Close returns all bytes of the account to the budget.
func (a *Account) Close() {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.budget.used -= a.used
	a.used = 0
}

// Used returns the bytes in use and the limit.
func (b *Budget) Used() (used, limit int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.limit
}
