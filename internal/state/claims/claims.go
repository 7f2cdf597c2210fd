// Package claims implements the deterministic state machine that lets each idempotency key run at most one request.
package claims

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/state/retention"
)

// Error is the class of errors of this package.
var Error = errs.Class("claims")

// maxFieldBytes limits identifiers, attempts and fingerprints, and thereby the size of a remembered claim.
const maxFieldBytes = 256

// Claims is the replicated table of claims; it is safe for concurrent use.
type Claims struct {
	options Options

	mu       sync.RWMutex
	clock    retention.Clock
	table    table
	released map[digest][]attemptDigest // attempts that released their claim, by claim
}

// New returns an empty state.
func New(opts ...Option) *Claims {
	c := &Claims{
		options: Options{
			Retention: defaultRetention, MaxClaims: defaultMaxClaims, MaxResponse: defaultMaxResponse,
			Rules: Rules{OneAttempt: true, ReleaseOwn: true},
		},
		table: newTable(), released: map[digest][]attemptDigest{},
	}
	for _, opt := range opts {
		opt(&c.options)
	}
	return c
}

// Apply applies one command.
func (c *Claims) Apply(command Command) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropExpired(c.clock.Advance(command.At))
	if !valid(command) {
		return Result{Outcome: Invalid}
	}
	switch command.Op {
	case OpClaim:
		return c.claim(command)
	case OpFinish:
		return c.finish(command)
	case OpRelease:
		return c.release(command)
	}
	return Result{Outcome: Invalid}
}

func valid(c Command) bool {
	for _, field := range []string{c.Key.Customer, c.Key.Identifier, c.Attempt} {
		if field == "" || len(field) > maxFieldBytes {
			return false
		}
	}
	return len(c.Fingerprint) <= maxFieldBytes && (c.Op != OpFinish || c.Response != nil)
}

// dropExpired removes claims whose deadline has passed.
func (c *Claims) dropExpired(now time.Time) {
	for c.table.len() > 0 && c.table.oldest().expired(now) {
		delete(c.released, c.table.oldest().key)
		c.table.dropOldest()
	}
}

func (c *Claims) find(key Key) (id digest, known *claim, ok bool) {
	id = digestOf(key.Customer, key.Identifier)
	known, ok = c.table.get(id)
	return id, known, ok
}

// hasReleased reports whether the attempt has released the claim.
func (c *Claims) hasReleased(id digest, attempt attemptDigest) bool {
	return slices.Contains(c.released[id], attempt)
}

func (c *Claims) claim(command Command) Result {
	id, current, known := c.find(command.Key)
	fingerprint, attempt := digestOf(command.Fingerprint), digestOfAttempt(command.Attempt)
	switch {
	case !known && c.table.len() >= c.options.MaxClaims:
		// Evicting a claim before its deadline could let a request run twice, so new claims are refused.
		return Result{Outcome: Full}
	case !known:
		deadline := deadlineAt(c.clock.Now.Add(c.options.Retention))
		current = c.table.add(claim{key: id, fingerprint: fingerprint, deadline: deadline})
	case current.fingerprint != fingerprint:
		return Result{Outcome: Mismatch}
	case current.phase == finished:
		return Result{Outcome: Finished, Response: unpack(current.response)}
	case c.hasReleased(id, attempt):
		return Result{Outcome: Released}
	case current.phase == held && current.attempt == attempt:
		return Result{Outcome: Granted}
	case current.phase == held && c.options.Rules.OneAttempt:
		return Result{Outcome: InProgress}
	}
	current.attempt, current.phase = attempt, held
	return Result{Outcome: Granted}
}

func (c *Claims) finish(command Command) Result {
	_, current, known := c.find(command.Key)
	switch {
	case !known || current.attempt != digestOfAttempt(command.Attempt):
		return Result{Outcome: Unclaimed}
	case current.phase == finished:
		return Result{Outcome: Finished, Response: unpack(current.response)}
	case current.phase == released:
		return Result{Outcome: Released}
	}
	response := *command.Response
	if len(response.Body) > c.options.MaxResponse {
		response.Body, response.Omitted = nil, true
	}
	current.response, current.phase = pack(response), finished
	return Result{Outcome: Finished, Response: &response}
}

func (c *Claims) release(command Command) Result {
	id, current, known := c.find(command.Key)
	attempt := digestOfAttempt(command.Attempt)
	switch {
	case known && c.hasReleased(id, attempt):
		return Result{Outcome: Released}
	case !known || (current.attempt != attempt && c.options.Rules.ReleaseOwn):
		return Result{Outcome: Unclaimed}
	case current.phase == finished:
		return Result{Outcome: Finished, Response: unpack(current.response)}
	}
	current.phase = released
	list := append(c.released[id], attempt)
	if len(list) > maxReleasedAttempts {
		list = list[1:]
	}
	c.released[id] = list
	return Result{Outcome: Released}
}

// maxReleasedAttempts limits the released attempts remembered for one identifier. A delayed duplicate of a claim command
// cannot arrive after that many later attempts, because its connection has ended by then.
const maxReleasedAttempts = 64

// Lookup returns the state of a claim at this replica, which may lag behind the log.
func (c *Claims) Lookup(key Key) Result {
	c.mu.RLock()
	defer c.mu.RUnlock()
	_, current, known := c.find(key)
	switch {
	case !known:
		return Result{Outcome: Unclaimed}
	case current.phase == finished:
		return Result{Outcome: Finished, Response: unpack(current.response)}
	case current.phase == held:
		return Result{Outcome: InProgress}
	}
	return Result{Outcome: Released}
}

// Len returns the number of remembered identifiers.
func (c *Claims) Len() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return c.table.len()
}

// ApplyEntry applies an encoded Command and returns the encoded Result, as required by voter.StateMachine.
func (c *Claims) ApplyEntry(data []byte) []byte {
	var command Command
	result := Result{Outcome: Invalid}
	if err := json.Unmarshal(data, &command); err == nil {
		result = c.Apply(command)
	}
	// Marshal cannot fail: Result holds only strings, numbers, booleans and bytes.
	encoded, _ := json.Marshal(result)
	return encoded
}
