package voter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/cenkalti/backoff/v5"

	"lycheevale/internal/wire/peer"
)

// proposal holds the parameters of the method by which any instance proposes to the leader.
type proposal struct {
	Data []byte `json:"Data"`
}

// outcome is the result code of a forwarded proposal.
type outcome string

const (
	outcomeDone      outcome = "Done"
	outcomeNotLeader outcome = "Elsewhere" // not the leader; nothing was proposed
	outcomeUnknown   outcome = "Unknown"
	outcomeTooLarge  outcome = "TooLarge"
)

type proposalResult struct {
	Outcome outcome `json:"Outcome"`
	Leader  string  `json:"Leader,omitempty"` // instance name, if known
	Result  []byte  `json:"Result,omitempty"`
}

// MaxProposalBytes limits the size of one proposal, so that its replication does not delay heartbeats for long.
const MaxProposalBytes = 8 << 20

// ProposeMethod returns the name of the method that accepts proposals to a log.
func ProposeMethod(group string) string { return group + ".Propose" }

// Client proposes to a log, also from an instance that is not a voter. It is safe for concurrent use.
type Client struct {
	call     peer.Caller
	method   string
	peers    func() []string
	followed func() string // the leader that this instance follows, "" if it knows none
	mu       sync.Mutex
	leader   string // last instance that led
	// failed is the voter that did not answer last. Without a followed leader it is not tried before retryAt, because the
	// others report it as their leader until their election timeouts have passed.
	failed  string
	retryAt time.Time
}

// NewClient returns a client of the log; peers returns the names of its voters.
func NewClient(call peer.Caller, group string, peers func() []string) *Client {
	return &Client{call: call, method: ProposeMethod(group), peers: peers, followed: func() string { return "" }}
}

// Intervals between two attempts; the first is about one round trip between regions.
const (
	initialRetryInterval = 50 * time.Millisecond
	// maxRetryInterval leaves most of the 2 s allowed for a change to the election that it waits for.
	maxRetryInterval = 100 * time.Millisecond
	// avoidDuration is about the longest election timeout.
	avoidDuration = 1200 * time.Millisecond
	// attemptTimeout allows two round trips between regions and a sync, and leaves time to try another voter within the
	// 2 s allowed for a change. An attempt ends sooner if this instance follows another leader meanwhile.
	attemptTimeout = 900 * time.Millisecond
	// followInterval is the time between two looks at the followed leader during an attempt.
	followInterval = 20 * time.Millisecond
)

// Propose sends the proposal to one voter after the other until one accepts it or ctx ends; state machines recognise
// repeated data by its request identifier. The error is ErrNoLeader if nothing can have been proposed.
func (c *Client) Propose(ctx context.Context, data []byte) (result []byte, err error) {
	defer func() { err = Error.Wrap(err) }()
	if len(data) > MaxProposalBytes {
		return nil, ErrTooLarge
	}
	failure := ErrNoLeader
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval, wait.MaxInterval = initialRetryInterval, maxRetryInterval
	followed := false // this attempt follows a redirect without a delay; two voters may redirect to each other
	for attempt := 0; ; attempt++ {
		to := c.target(attempt, followed)
		result, err := c.try(ctx, to, data)
		switch {
		case err == nil || errs.Is(err, ErrTooLarge):
			return result, err
		case !errs.Is(err, ErrNoLeader):
			failure = ErrOutcomeUnknown
		}
		if followed = !followed && c.redirected(to); followed && ctx.Err() == nil {
			continue
		}
		select {
		case <-ctx.Done():
			// The last error is not wrapped, because an unknown outcome must not match ErrNoLeader.
			return nil, fmt.Errorf("%w (last tried %q: %v)", failure, to, err)
		case <-time.After(wait.NextBackOff()):
		}
	}
}

// target returns the instance for the next attempt. A redirect is newer than what this instance follows.
func (c *Client) target(attempt int, redirected bool) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if leader := c.followed(); leader != "" && !redirected {
		c.leader = leader
	}
	peers := c.peers()
	if c.leader != "" || len(peers) == 0 {
		return c.leader
	}
	to := peers[attempt%len(peers)]
	if c.isAvoided(to) {
		to = peers[(attempt+1)%len(peers)]
	}
	return to
}

// redirected reports whether the voter that was asked named another one as the leader.
func (c *Client) redirected(asked string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.leader != "" && c.leader != asked
}

func (c *Client) isAvoided(name string) bool { return name == c.failed && time.Now().Before(c.retryAt) }

func (c *Client) try(ctx context.Context, to string, data []byte) ([]byte, error) {
	if to == "" {
		return nil, ErrNoLeader
	}
	var answer proposalResult
	if err := c.callFollowed(ctx, to, proposal{Data: data}, &answer); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	switch answer.Outcome {
	case outcomeDone:
		c.setLeader(to)
		return answer.Result, nil
	case outcomeNotLeader:
		c.setLeader(answer.Leader)
		return nil, ErrNoLeader
	case outcomeTooLarge:
		return nil, ErrTooLarge
	}
	c.setLeader("")
	return nil, ErrOutcomeUnknown
}

// callFollowed calls one voter. It gives up when this instance follows another leader than before the call, to which the caller
// proposes next.
func (c *Client) callFollowed(ctx context.Context, to string, p proposal, answer *proposalResult) error {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	before, next := c.followed(), ""
	watch := errgroup.Group{}
	watch.Go(func() error {
		ticker := time.NewTicker(followInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
			}
			if leader := c.followed(); leader != "" && leader != before && leader != to {
				next = leader
				cancel()
				return nil
			}
		}
	})
	err := c.call(ctx, to, c.method, p, answer)
	cancel()
	_ = watch.Wait() // never fails
	if err != nil {
		c.setFailed(to, next)
	}
	return err
}

func (c *Client) setLeader(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = name
	if c.isAvoided(name) {
		c.leader = ""
	}
}

// setFailed records that a voter did not answer, and the leader that is followed in its place, if any.
func (c *Client) setFailed(name, leader string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader, c.failed, c.retryAt = leader, name, time.Now().Add(avoidDuration)
}
