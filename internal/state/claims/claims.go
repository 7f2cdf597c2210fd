// Package claims is the deterministic state machine that lets each idempotency key run at most one request.
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

// maxField bounds identifiers, attempts and fingerprints in bytes, and with them the size of a remembered claim.
const maxField = 256

// Claims is the state; it is safe for concurrent use.
type Claims struct {
	options Options

	mu       sync.RWMutex
	clock    retention.Clock
	table    table
	released map[digest][]attemptDigest // attempts that gave up, of claims that have some
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
	c.forget(c.clock.Advance(command.At))
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
		if field == "" || len(field) > maxField {
			return false
		}
	}
	return len(c.Fingerprint) <= maxField && (c.Op != OpFinish || c.Response != nil)
}

// forget drops identifiers after their deadline.
func (c *Claims) forget(now time.Time) {
	for c.table.len() > 0 && c.table.oldest().over(now) {
		delete(c.released, c.table.oldest().key)
		c.table.drop()
	}
}

func (c *Claims) find(key Key) (id digest, known *claim, ok bool) {
	id = digestOf(key.Customer, key.Identifier)
	known, ok = c.table.get(id)
	return id, known, ok
}

// gaveUp tells whether the attempt has released the claim.
func (c *Claims) gaveUp(id digest, attempt attemptDigest) bool {
	return slices.Contains(c.released[id], attempt)
}

func (c *Claims) claim(command Command) Result {
	id, one, known := c.find(command.Key)
	fingerprint, attempt := digestOf(command.Fingerprint), digestOfAttempt(command.Attempt)
	switch {
	case !known && c.table.len() >= c.options.MaxClaims:
		// Forgetting a claim early could let a request run twice, so new ones wait.
		return Result{Outcome: Full}
	case !known:
		deadline := deadlineAt(c.clock.Now.Add(c.options.Retention))
		one = c.table.add(claim{key: id, fingerprint: fingerprint, deadline: deadline})
	case one.fingerprint != fingerprint:
		return Result{Outcome: Mismatch}
	case one.phase == finished:
		return Result{Outcome: Finished, Response: unpack(one.response)}
	case c.gaveUp(id, attempt):
		return Result{Outcome: Released}
	case one.phase == held && one.attempt == attempt:
		return Result{Outcome: Granted}
	case one.phase == held && c.options.Rules.OneAttempt:
		return Result{Outcome: InProgress}
	}
	one.attempt, one.phase = attempt, held
	return Result{Outcome: Granted}
}

func (c *Claims) finish(command Command) Result {
	_, one, known := c.find(command.Key)
	switch {
	case !known || one.attempt != digestOfAttempt(command.Attempt):
		return Result{Outcome: Unclaimed}
	case one.phase == finished:
		return Result{Outcome: Finished, Response: unpack(one.response)}
	case one.phase == released:
		return Result{Outcome: Released}
	}
	response := *command.Response
	if len(response.Body) > c.options.MaxResponse {
		response.Body, response.Omitted = nil, true
	}
	one.response, one.phase = pack(response), finished
	return Result{Outcome: Finished, Response: &response}
}

func (c *Claims) release(command Command) Result {
	id, one, known := c.find(command.Key)
	attempt := digestOfAttempt(command.Attempt)
	switch {
	case known && c.gaveUp(id, attempt):
		return Result{Outcome: Released}
	case !known || (one.attempt != attempt && c.options.Rules.ReleaseOwn):
		return Result{Outcome: Unclaimed}
	case one.phase == finished:
		return Result{Outcome: Finished, Response: unpack(one.response)}
	}
	one.phase = released
	list := append(c.released[id], attempt)
	if len(list) > maxReleased {
		list = list[1:]
	}
	c.released[id] = list
	return Result{Outcome: Released}
}

// maxReleased bounds the attempts remembered for one identifier; a claim repeated by the network after that many
// other attempts have come and gone would have outlived its connection.
const maxReleased = 64

// Lookup returns the state of an identifier at this replica, which may lag behind the log.
func (c *Claims) Lookup(key Key) Result {
	c.mu.RLock()
	defer c.mu.RUnlock()
	_, one, known := c.find(key)
	switch {
	case !known:
		return Result{Outcome: Unclaimed}
	case one.phase == finished:
		return Result{Outcome: Finished, Response: unpack(one.response)}
	case one.phase == held:
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

// ApplyEntry applies an encoded Command and returns the encoded Result; it is the form a voter's state machine needs.
func (c *Claims) ApplyEntry(data []byte) []byte {
	var command Command
	result := Result{Outcome: Invalid}
	if err := json.Unmarshal(data, &command); err == nil {
		result = c.Apply(command)
	}
	// Result holds only strings, numbers, booleans and bytes, which always have a JSON form.
	encoded, _ := json.Marshal(result)
	return encoded
}
