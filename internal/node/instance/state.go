package instance

import (
	"context"
	"encoding/json"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/base/repeat"
	"lycheevale/internal/base/settings"
	"lycheevale/internal/member/node"
	"lycheevale/internal/place/scheduler"
	"lycheevale/internal/serve/caller"
	"lycheevale/internal/state/claims"
	"lycheevale/internal/state/consensus"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/state/voter"
	"lycheevale/internal/wire/peer"
)

// Names of the replicated logs.
const (
	configGroup = "Config"
	claimGroup  = "Claim"
)

// claimTimeout bounds the commit of a claim; it allows for an election and a wide-area round trip.
const claimTimeout = 3 * time.Second

// state is this instance's part of the replicated state: the configuration, the withdrawn keys and the claims.
type state struct {
	settings     settings.Settings
	options      Options
	registry     *registry.Registry
	config       *voter.Voter // nil on instances that are not voters
	claims       *voter.Voter
	votes        bool
	propose      func(ctx context.Context, data []byte) ([]byte, error)
	claimLog     func(ctx context.Context, data []byte) ([]byte, error)
	distribution *distribution
	mu           sync.Mutex
	releases     []claims.Command // not committed to the log yet
}

func newState(s settings.Settings, o Options, mux *peer.Mux, call peer.Caller, members func() node.View) *state {
	st := &state{settings: s, options: o, registry: registry.New()}
	st.votes = len(s.Voters) == 0 || slices.ContainsFunc(s.Voters, func(m settings.Member) bool { return m.Name == s.Name })
	st.distribution = newDistribution(st, mux, call, members)
	switch {
	case len(s.Voters) == 0 && s.DataFolder == "":
		st.useMemory()
	case st.votes:
		st.startVoters(mux, call)
	default:
		st.propose = voter.NewClient(call, configGroup, st.voters).Propose
		st.claimLog = voter.NewClient(call, claimGroup, st.voters).Propose
	}
	return st
}

// ownsLog reports whether the configuration comes from this instance's own log.
func (st *state) ownsLog() bool { return st.votes }

// apply and restore are the state machine of the configuration log.
func (st *state) apply(data []byte) []byte {
	st.options.Trace(StepCommit)
	result := st.registry.ApplyEntry(data)
	st.distribution.logChanged()
	return result
}

func (st *state) restore(data []byte) error {
	err := st.registry.Restore(data)
	st.distribution.logRestored()
	return err
}

// useMemory keeps the state in memory, for trials without a disk.
func (st *state) useMemory() {
	c := claims.New()
	st.propose = func(_ context.Context, data []byte) ([]byte, error) { return st.apply(data), nil }
	st.claimLog = func(_ context.Context, data []byte) ([]byte, error) { return c.ApplyEntry(data), nil }
}

func (st *state) startVoters(mux *peer.Mux, call peer.Caller) {
	call = st.traced(call, "Consensus.", StepReplicate)
	router := voter.NewRouter(mux)
	c := claims.New()
	machines := map[string]voter.StateMachine{
		configGroup: {Apply: st.apply, View: st.registry.View, Restore: st.restore},
		claimGroup:  {Apply: c.ApplyEntry, View: c.View, Restore: c.Restore},
	}
	open := func(group string) *voter.Voter {
		v := voter.New(voter.WithGroup(group), voter.WithName(st.settings.Name), voter.WithDir(dataDir(st.settings, group)),
			voter.WithMachine(machines[group]), voter.WithCaller(call), voter.WithPeers(st.voters),
			voter.WithLogger(st.options.Logger))
		router.Add(mux, v)
		return v
	}
	st.config, st.claims = open(configGroup), open(claimGroup)
	st.propose, st.claimLog = st.config.Propose, st.claims.Propose
}

// traced calls Trace before calls of methods with the prefix.
func (st *state) traced(call peer.Caller, prefix string, step Step) peer.Caller {
	return func(ctx context.Context, to, method string, params, result any) error {
		if strings.HasPrefix(method, prefix) {
			st.options.Trace(step)
		}
		return call(ctx, to, method, params, result)
	}
}

// voters lists the voters of the configuration or, if it has none, those of the settings.
func (st *state) voters() []string {
	var names []string
	for _, o := range st.registry.List(registry.KindVoter) {
		names = append(names, o.Name)
	}
	if len(names) > 0 {
		return names
	}
	for _, m := range st.settings.Voters {
		names = append(names, m.Name)
	}
	if len(names) == 0 {
		names = []string{st.settings.Name}
	}
	return names
}

func (st *state) runners() []func(context.Context) error {
	runners := append(st.distribution.runners(), st.bootstrap, st.releaseClaims)
	if st.config != nil {
		runners = append(runners, st.config.Run, st.claims.Run)
	}
	return runners
}

// bootstrapID makes the first configuration of a deployment apply once, whichever instances propose it.
const bootstrapID = "bootstrap"

func (st *state) bootstrap(ctx context.Context) error {
	if len(st.options.Bootstrap) == 0 {
		return nil
	}
	result, err := st.change(ctx, registry.Command{
		RequestID: bootstrapID, Operator: bootstrapID, At: st.options.Wall(), Changes: st.options.Bootstrap,
	})
	if err == nil {
		err = result.Err()
	}
	if err != nil && ctx.Err() == nil {
		event.Log(ctx, st.options.Logger, event.BootstrapFailed, slog.Any("Error", err))
	}
	return nil
}

// change proposes a command and returns its result once it is applied at the leader.
func (st *state) change(ctx context.Context, c registry.Command) (result registry.Result, err error) {
	data, err := json.Marshal(c)
	if err != nil {
		return result, err
	}
	st.options.Trace(StepPropose)
	raw, err := st.propose(ctx, data)
	if err != nil {
		return result, err
	}
	err = json.Unmarshal(raw, &result)
	return result, err
}

// initialised reports whether the instance has a configuration and the withdrawn keys.
func (st *state) initialised() bool {
	return st.registry.Revision() > 0 && st.distribution.revoke.Ready()
}

func (st *state) withdrawn(keyID string) bool {
	return st.distribution.revoke.Withdrawn(keyID) || st.registry.Withdrawn(keyID)
}

// stale reports whether this instance may lack withdrawals made at other instances.
func (st *state) stale() bool {
	limit := st.settings.Timeouts.StrictKeyLimit
	if st.ownsLog() {
		return st.distribution.logAge() > limit
	}
	return st.options.Now().Sub(st.distribution.feed.FreshAt()) > limit
}

// confirmedAt returns the wall-clock time at which the configuration was last confirmed to be current.
func (st *state) confirmedAt() time.Time {
	if st.ownsLog() {
		return st.options.Wall().Add(-st.distribution.logAge())
	}
	if at := st.distribution.feed.FreshAt(); !at.IsZero() {
		return st.options.Wall().Add(-st.options.Now().Sub(at))
	}
	return time.Time{}
}

// synced reports whether the configuration has been received from the voters since this instance started.
func (st *state) synced() bool {
	if st.ownsLog() {
		return st.config == nil || st.config.Status().Leader != ""
	}
	return !st.distribution.feed.FreshAt().IsZero()
}

// isLeader reports whether this instance leads the configuration log.
func (st *state) isLeader() bool {
	return st.config != nil && st.config.Status().Role == consensus.Leader
}

// leader returns the instance that leads the configuration log, if known.
func (st *state) leader() (name string, ok bool) {
	if st.config != nil {
		name = st.config.Status().Leader
	} else {
		st.distribution.mu.Lock()
		defer st.distribution.mu.Unlock()
		name = st.distribution.leader
	}
	return name, name != ""
}

func (st *state) limit(customer string) (registry.Customer, bool) {
	o, ok := st.registry.Get(registry.KindCustomer, customer)
	if !ok {
		return registry.Customer{}, false
	}
	return *o.Customer, true
}

// weight returns a customer's weight in fair queueing: its rate, or 1 if it has none.
func (st *state) weight(customer string) float64 {
	limit, ok := st.limit(customer)
	if !ok || limit.Rate <= 0 {
		return 1
	}
	return limit.Rate
}

// source returns the location of the weights of an adapter's version.
func (st *state) source(a scheduler.AdapterRef) string {
	if o, ok := st.registry.Get(registry.KindVersion, a.Adapter+"@"+a.Version); ok {
		return o.Version.Source
	}
	return ""
}

// claim implements the claim filter with the replicated log.
func (st *state) claim(ctx context.Context, customer, key, fingerprint string) (c caller.Claim, err error) {
	command := claims.Command{
		Op: claims.OpClaim, Key: claims.Key{Customer: customer, Identifier: key}, Attempt: uuid.NewString(),
		Fingerprint: fingerprint, At: st.options.Wall(),
	}
	result, err := st.proposeClaim(ctx, command)
	if err != nil {
		// The claim may be recorded, but nothing was sent to an endpoint and this attempt never will be.
		st.releaseLater(command)
		return c, refusal.New(refusal.Unavailable, "claims cannot be recorded at the moment: %v", err)
	}
	switch result.Outcome {
	case claims.Granted:
		return st.grantedClaim(command), nil
	case claims.Finished:
		return storedClaim(result.Response)
	case claims.InProgress:
		return c, refusal.New(refusal.OutcomeUnknown, "an earlier request with this Idempotency-Key has no known outcome")
	case claims.Mismatch:
		return c, refusal.New(refusal.Conflict, "this Idempotency-Key was used for another request")
	case claims.Full:
		return c, refusal.New(refusal.Overloaded, "too many identifiers are remembered")
	default:
		return c, refusal.New(refusal.BadRequest, "claim was not accepted: %s", result.Outcome)
	}
}

// Bounds of releases that are not committed to the log yet.
const (
	maxReleases     = 10_000
	releaseInterval = 500 * time.Millisecond
)

// releaseLater retries the release of a claim whose request was certainly not sent until the log holds the release.
// Otherwise the caller's retries would be refused until the claim expires.
func (st *state) releaseLater(command claims.Command) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if len(st.releases) < maxReleases {
		st.releases = append(st.releases, command)
	}
}

func (st *state) releaseClaims(ctx context.Context) error {
	return repeat.Every(ctx, releaseInterval, func(ctx context.Context) {
		st.mu.Lock()
		waiting := st.releases
		st.releases = nil
		st.mu.Unlock()
		for n, command := range waiting {
			if _, err := st.endClaim(ctx, command, claims.OpRelease, nil); err != nil {
				st.mu.Lock()
				st.releases = append(st.releases, waiting[n:]...)
				st.mu.Unlock()
				return
			}
		}
	})
}

func storedClaim(r *claims.Response) (c caller.Claim, err error) {
	if r == nil || r.Omitted {
		return c, refusal.New(refusal.Conflict, "the request has run before; its response was too long to keep").WithUnknown()
	}
	return caller.Claim{Stored: &caller.StoredResponse{Status: r.Status, ContentType: r.ContentType, Body: r.Body}}, nil
}

func (st *state) grantedClaim(command claims.Command) caller.Claim {
	return caller.Claim{
		Finish: func(ctx context.Context, r *caller.StoredResponse) error {
			_, err := st.endClaim(ctx, command, claims.OpFinish,
				&claims.Response{Status: r.Status, ContentType: r.ContentType, Body: r.Body})
			return err
		},
		Release: func(ctx context.Context) error {
			_, err := st.endClaim(ctx, command, claims.OpRelease, nil)
			if err != nil {
				st.releaseLater(command)
			}
			return err
		},
	}
}

func (st *state) endClaim(ctx context.Context, command claims.Command, op claims.Op, r *claims.Response) (claims.Result, error) {
	command.Op, command.Response, command.At = op, r, st.options.Wall()
	return st.proposeClaim(context.WithoutCancel(ctx), command)
}

func (st *state) proposeClaim(ctx context.Context, command claims.Command) (result claims.Result, err error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	data, err := json.Marshal(command)
	if err != nil {
		return result, err
	}
	raw, err := st.claimLog(ctx, data)
	if err != nil {
		return result, err
	}
	err = json.Unmarshal(raw, &result)
	return result, err
}
