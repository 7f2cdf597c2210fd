package voter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"github.com/cenkalti/backoff/v5"

	"lycheevale/internal/wire/peer"
)

// proposal is the parameter of the method by which any instance proposes to the leader.
type proposal struct {
	Data []byte `json:"Data"`
}

// Outcome of a forwarded proposal.
type outcome string

const (
	outcomeDone      outcome = "Done"
	outcomeElsewhere outcome = "Elsewhere" // not the leader; nothing was proposed
	outcomeUnknown   outcome = "Unknown"
	outcomeTooLarge  outcome = "TooLarge"
)

type proposed struct {
	Outcome outcome `json:"Outcome"`
	Leader  string  `json:"Leader,omitempty"` // instance name, if known
	Result  []byte  `json:"Result,omitempty"`
}

// MaxProposalBytes bounds one proposal, so that replicating it cannot delay heartbeats for long.
const MaxProposalBytes = 8 << 20

// ProposeMethod returns the method by which proposals to a log are made.
func ProposeMethod(group string) string { return group + ".Propose" }

// Client proposes to a log from an instance that is no voter; it is safe for concurrent use.
type Client struct {
	call   peer.Caller
	method string
	peers  func() []string
	mu     sync.Mutex
	leader string // last instance that led
	// failed did not answer; until retryAt it is not asked again, because the others name it as their leader until
	// their election timeout has passed.
	failed  string
	retryAt time.Time
}

// NewClient returns a client of the log; peers returns the names of its voters.
func NewClient(call peer.Caller, group string, peers func() []string) *Client {
	return &Client{call: call, method: ProposeMethod(group), peers: peers}
}

// Intervals between two attempts; the first is about one round trip between regions.
const (
	firstRetry = 50 * time.Millisecond
	// lastRetry leaves most of the 2 s of a change to the election that it waits for.
	lastRetry = 100 * time.Millisecond
	// avoidFailed is about the longest election timeout.
	avoidFailed = 1200 * time.Millisecond
	// attemptTimeout allows for two round trips between regions and a sync, and still leaves time to try another
	// voter within the 2 s of a change.
	attemptTimeout = 900 * time.Millisecond
)

// Propose repeats the proposal at changing voters until one answers or ctx ends; state machines recognise repeated
// data by its request identifier. The error is ErrNoLeader if nothing can have been proposed.
func (c *Client) Propose(ctx context.Context, data []byte) (result []byte, err error) {
	defer func() { err = Error.Wrap(err) }()
	if len(data) > MaxProposalBytes {
		return nil, ErrTooLarge
	}
	failure := ErrNoLeader
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = firstRetry, lastRetry
	followed := false // the last attempt followed a hint without waiting; two voters may name each other
	for attempt := 0; ; attempt++ {
		to := c.target(attempt)
		result, err := c.try(ctx, to, data)
		switch {
		case err == nil || errs.Is(err, ErrTooLarge):
			return result, err
		case !errs.Is(err, ErrNoLeader):
			failure = ErrOutcomeUnknown
		}
		if followed = !followed && c.hinted(to); followed && ctx.Err() == nil {
			continue
		}
		select {
		case <-ctx.Done():
			// The last error is text only: it must not make an unknown outcome look like ErrNoLeader.
			return nil, fmt.Errorf("%w (last tried %q: %v)", failure, to, err)
		case <-time.After(wait.NextBackOff()):
		}
	}
}

func (c *Client) target(attempt int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	peers := c.peers()
	if c.leader != "" || len(peers) == 0 {
		return c.leader
	}
	to := peers[attempt%len(peers)]
	if c.avoids(to) {
		to = peers[(attempt+1)%len(peers)]
	}
	return to
}

// hinted tells whether the voter that was asked named another one as its leader.
func (c *Client) hinted(asked string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader != "" && c.leader != asked
}

func (c *Client) avoids(name string) bool { return name == c.failed && time.Now().Before(c.retryAt) }

func (c *Client) try(ctx context.Context, to string, data []byte) ([]byte, error) {
	if to == "" {
		return nil, ErrNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	var answer proposed
	if err := c.call(ctx, to, c.method, proposal{Data: data}, &answer); err != nil {
		c.setFailed(to)
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch answer.Outcome {
	case outcomeDone:
		c.setLeader(to)
		return answer.Result, nil
	case outcomeElsewhere:
		c.setLeader(answer.Leader)
		return nil, ErrNoLeader
	case outcomeTooLarge:
		return nil, ErrTooLarge
	}
	c.setLeader("")
	return nil, ErrOutcomeUnknown
}

func (c *Client) setLeader(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = name
	if c.avoids(name) {
		c.leader = ""
	}
}

func (c *Client) setFailed(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader, c.failed, c.retryAt = "", name, time.Now().Add(avoidFailed)
}
