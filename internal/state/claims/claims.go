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

	mu     sync.RWMutex
	clock  retention.Clock
	claims map[Key]*claim
	order  []remembered // claims in the order of their first command
}

// claim is held, finished or released; a released one remembers its attempts until it is claimed anew.
type claim struct {
	Fingerprint string    `json:"Fingerprint"`
	Attempt     string    `json:"Attempt"`
	Released    []string  `json:"Released,omitempty"` // attempts that gave up
	Held        bool      `json:"Held,omitempty"`
	Response    *Response `json:"Response,omitempty"`
}

type remembered struct {
	Key      Key
	Deadline time.Time
}

// New returns an empty state.
func New(opts ...Option) *Claims {
	c := &Claims{
		options: Options{
			Retention: defaultRetention, MaxClaims: defaultMaxClaims, MaxResponse: defaultMaxResponse,
			Rules: Rules{OneAttempt: true, ReleaseOwn: true},
		},
		claims: map[Key]*claim{},
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
	for len(c.order) > 0 && !now.Before(c.order[0].Deadline) {
		delete(c.claims, c.order[0].Key)
		c.order = c.order[1:]
	}
}

func (c *Claims) claim(command Command) Result {
	held, known := c.claims[command.Key]
	switch {
	case !known && len(c.claims) >= c.options.MaxClaims:
		// Forgetting a claim early could let a request run twice, so new ones wait.
		return Result{Outcome: Full}
	case !known:
		held = &claim{Fingerprint: command.Fingerprint}
		c.claims[command.Key] = held
		c.order = append(c.order, remembered{command.Key, c.clock.Now.Add(c.options.Retention)})
	case held.Fingerprint != command.Fingerprint:
		return Result{Outcome: Mismatch}
	case held.Response != nil:
		return Result{Outcome: Finished, Response: held.Response}
	case slices.Contains(held.Released, command.Attempt):
		return Result{Outcome: Released}
	case held.Held && held.Attempt == command.Attempt:
		return Result{Outcome: Granted}
	case held.Held && c.options.Rules.OneAttempt:
		return Result{Outcome: InProgress}
	}
	held.Attempt, held.Held = command.Attempt, true
	return Result{Outcome: Granted}
}

func (c *Claims) finish(command Command) Result {
	held, known := c.claims[command.Key]
	switch {
	case !known || held.Attempt != command.Attempt:
		return Result{Outcome: Unclaimed}
	case held.Response != nil:
		return Result{Outcome: Finished, Response: held.Response}
	case !held.Held:
		return Result{Outcome: Released}
	}
	response := *command.Response
	if len(response.Body) > c.options.MaxResponse {
		response.Body, response.Omitted = nil, true
	}
	held.Response, held.Held = &response, false
	return Result{Outcome: Finished, Response: held.Response}
}

func (c *Claims) release(command Command) Result {
	held, known := c.claims[command.Key]
	switch {
	case known && slices.Contains(held.Released, command.Attempt):
		return Result{Outcome: Released}
	case !known || (held.Attempt != command.Attempt && c.options.Rules.ReleaseOwn):
		return Result{Outcome: Unclaimed}
	case held.Response != nil:
		return Result{Outcome: Finished, Response: held.Response}
	}
	held.Held = false
	held.Released = append(held.Released, command.Attempt)
	if len(held.Released) > maxReleased {
		held.Released = held.Released[1:]
	}
	return Result{Outcome: Released}
}

// maxReleased bounds the attempts remembered for one identifier; a claim repeated by the network after that many
// other attempts have come and gone would have outlived its connection.
const maxReleased = 64

// Lookup returns the state of an identifier at this replica, which may lag behind the log.
func (c *Claims) Lookup(key Key) Result {
	c.mu.RLock()
	defer c.mu.RUnlock()
	held, known := c.claims[key]
	switch {
	case !known:
		return Result{Outcome: Unclaimed}
	case held.Response != nil:
		return Result{Outcome: Finished, Response: held.Response}
	case held.Held:
		return Result{Outcome: InProgress}
	}
	return Result{Outcome: Released}
}

// Len returns the number of remembered identifiers.
func (c *Claims) Len() int {
	c.mu.RLock()
	defer c.mu.RUnlock()
	return len(c.claims)
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

// stored is the JSON form of a snapshot.
type stored struct {
	Clock  retention.Clock
	Claims []storedClaim
}

type storedClaim struct {
	remembered
	Claim *claim
}

// Snapshot encodes the state.
func (c *Claims) Snapshot() (data []byte, err error) { return c.View()() }

// View copies the claims without their responses, which are never modified, and returns a function that encodes the
// copy; it may run while commands are applied.
func (c *Claims) View() (encode func() ([]byte, error)) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	s := stored{Clock: c.clock, Claims: make([]storedClaim, 0, len(c.order))}
	copies := make([]claim, 0, len(c.order))
	for _, r := range c.order {
		held := *c.claims[r.Key]
		held.Released = slices.Clone(held.Released)
		copies = append(copies, held)
		s.Claims = append(s.Claims, storedClaim{r, &copies[len(copies)-1]})
	}
	return func() ([]byte, error) {
		data, err := json.Marshal(s)
		return data, Error.Wrap(err)
	}
}

// Restore replaces the state by a snapshot.
func (c *Claims) Restore(data []byte) error {
	var s stored
	if err := json.Unmarshal(data, &s); err != nil {
		return Error.Wrap(err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.clock, c.order = s.Clock, nil
	c.claims = make(map[Key]*claim, len(s.Claims))
	for _, r := range s.Claims {
		if r.Claim == nil {
			return Error.New("snapshot holds an empty claim of customer %q", r.Key.Customer)
		}
		c.claims[r.Key] = r.Claim
		c.order = append(c.order, r.remembered)
	}
	return nil
}
