package admit

import (
	"context"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/limit/share"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/wire/peer"
)

// Leader moves shares towards demand. It runs on every voter and acts only while that voter leads the
// configuration log. It is safe for concurrent use.
type Leader struct {
	options         LeaderOptions
	mu              sync.Mutex
	allocator       *share.Allocator
	leading         bool
	singleStepsLeft int // remaining steps that propose the changes of one customer only
	turn            int
}

// singleSteps is the number of steps after a rejected plan, about 5 s, that propose the changes of one customer each.
// A customer whose change is always rejected then does not block the others.
const singleSteps = 20

// LeaderOptions are the settings of a Leader.
type LeaderOptions struct {
	Now     func() time.Time
	Leading func() bool
	Input   func() share.Input // the applied configuration
	Propose func(ctx context.Context, c registry.Command) error
	NewID   func() string // returns the identifier of a request
	Every   time.Duration // between plans
	Logger  *slog.Logger
}

// LeaderOption sets one of the LeaderOptions.
type LeaderOption func(*LeaderOptions)

// WithLeaderClock sets the monotonic clock.
func WithLeaderClock(now func() time.Time) LeaderOption {
	return func(o *LeaderOptions) { o.Now = now }
}

// WithLog sets whether this voter leads, its applied configuration, how a change is proposed, and the source of
// request identifiers.
func WithLog(leading func() bool, input func() share.Input,
	propose func(ctx context.Context, c registry.Command) error, newID func() string,
) LeaderOption {
	return func(o *LeaderOptions) { o.Leading, o.Input, o.Propose, o.NewID = leading, input, propose, newID }
}

// WithLeaderLogger sets the logger.
func WithLeaderLogger(l *slog.Logger) LeaderOption {
	return func(o *LeaderOptions) { o.Logger = l }
}

// planEvery is shorter than the interval of demand reports, so that a confirmed decrease is used soon.
const planEvery = 250 * time.Millisecond

// operatorName is recorded as the author of changes of shares.
const operatorName = "limit/share"

// NewLeader returns a Leader, which acts only if WithLog is given.
func NewLeader(opts ...LeaderOption) *Leader {
	o := LeaderOptions{
		Now:     time.Now,
		Leading: func() bool { return false },
		Every:   planEvery,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return &Leader{options: o, allocator: share.New()}
}

// Handle registers the messages of coordinators.
func (l *Leader) Handle(mux *peer.Mux) {
	mux.Handle(MethodDemand, peer.Typed(l.Demand))
	mux.Handle(MethodConfirm, peer.Typed(l.Confirm))
}

// Demand handles Limit.Demand.
func (l *Leader) Demand(_ context.Context, _ string, r share.Report) (answer share.Answer, err error) {
	if !l.options.Leading() {
		return answer, refusal.New(refusal.Unavailable, "this instance does not lead the configuration log")
	}
	in := l.options.Input()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	known := l.allocator.Report(now, r)
	answer = l.allocator.Outlook(now, in, r)
	answer.Full = !known
	return answer, nil
}

// Confirm handles Limit.Confirm.
func (l *Leader) Confirm(ctx context.Context, _ string, req ConfirmRequest) (none struct{}, err error) {
	if !l.options.Leading() {
		return none, refusal.New(refusal.Unavailable, "this instance does not lead the configuration log")
	}
	in := l.options.Input()
	changes, freed := share.Confirm(in.Shares, req.Shares)
	if err := l.propose(ctx, in.Revision, changes); err != nil {
		return none, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.allocator.Free(freed)
	return none, nil
}

// Run makes and proposes plans until ctx ends.
func (l *Leader) Run(ctx context.Context) error {
	for pause(ctx, l.options.Every) == nil {
		_ = l.Step(ctx) // a rejected plan is made again from the newer configuration
	}
	return nil
}

// Step makes and proposes one plan. The expected revision makes the log reject a plan that is based on an older
// configuration, so two leaders cannot assign the same tokens.
func (l *Leader) Step(ctx context.Context) error {
	changes, revision := l.plan()
	err := l.propose(ctx, revision, l.choose(changes))
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.singleStepsLeft = singleSteps
	}
	return err
}

// choose returns the whole plan, or for some steps after a rejection the changes of one customer, in rotation.
func (l *Leader) choose(changes []registry.Object) []registry.Object {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.singleStepsLeft == 0 || len(changes) == 0 {
		return changes
	}
	l.singleStepsLeft--
	l.turn++
	var customers []string
	for _, o := range changes {
		customers = append(customers, customerOf(o))
	}
	slices.Sort(customers)
	customers = slices.Compact(customers)
	chosen := customers[l.turn%len(customers)]
	return slices.DeleteFunc(changes, func(o registry.Object) bool { return customerOf(o) != chosen })
}

// customerOf returns the customer of a share's object, which is named customer/data centre.
func customerOf(o registry.Object) string {
	customer, _, _ := strings.Cut(o.Name, "/")
	return customer
}

func (l *Leader) plan() (changes []registry.Object, revision uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	leading := l.options.Leading()
	if !leading {
		l.leading = false
		return nil, 0
	}
	if !l.leading {
		l.allocator = share.New() // its state is outdated: another leader may have changed shares
		l.leading = true
	}
	in := l.options.Input()
	return l.allocator.Plan(l.options.Now(), in), in.Revision
}

func (l *Leader) propose(ctx context.Context, revision uint64, changes []registry.Object) error {
	if len(changes) == 0 {
		return nil
	}
	event.Log(ctx, l.options.Logger, event.LimitMoved, slog.Int("Shares", len(changes)))
	return l.options.Propose(ctx, registry.Command{
		RequestID: l.options.NewID(), ExpectedRevision: revision, Operator: operatorName, At: l.options.Now(),
		Changes: changes,
	})
}
