package admit

import (
	"context"
	"log/slog"
	"time"

	"lycheevale/internal/state/registry"
	"lycheevale/internal/wire/peer"
)

const (
	// batchLife is long against a round trip within a data centre (about 2 ms) and short enough that the
	// batches of a lost instance, and the pause after a takeover, cost a customer one second of its rate.
	batchLife = time.Second
	// roomLife is the life of a batch of a customer with room, whose burst is large enough that use may be reported
	// late. It is several times the interval of reports. A new coordinator confirms no smaller share before it has
	// passed, so it must be short enough to delay moves of shares little.
	roomLife = 5 * time.Second
	// roomShare is the part of the burst that may be lent in such batches; a new coordinator counts it as lent for one
	// roomLife.
	roomShare = 0.25
	// roomLevel is the part of the burst that must be available; then a refill that a missing report delays does no
	// harm.
	roomLevel = 0.5
	// roomRequests is the number of requests of the largest recent size that must fit the burst.
	roomRequests = 16
	// batchMargin covers the rate difference of two monotonic clocks (500 ppm would need 0.5 ms).
	batchMargin = 50 * time.Millisecond
	// holderSilence is four times the longest poll; an instance that misses four polls is considered lost.
	holderSilence = time.Second
	// shortestPoll and longestPoll bound how often an instance asks for the state of its claims.
	shortestPoll = 20 * time.Millisecond
	longestPoll  = 250 * time.Millisecond
	// moveTime is the time in which the shares follow demand: one report, one plan, confirmation, increase.
	moveTime = 2 * time.Second
	// leaderTimeout is six reports; afterwards the leader is considered unreachable and only the data centre's own
	// share counts.
	leaderTimeout = 3 * time.Second
	// prospectRetention is five reports. By then, demand that moved here has decayed where it was before (meterWindow).
	prospectRetention = 2500 * time.Millisecond
	// peakRetention is how long the largest claim is kept.
	peakRetention = 5 * time.Second
	// maxBurstIncreases bounds the increases kept for tokens that follow them; these arrive within one or two reports.
	maxBurstIncreases = 4
	// longestWait bounds computed waits.
	longestWait = 24 * time.Hour
	// sessionRetention is how long an instance that does not ask keeps its session.
	sessionRetention = 10 * time.Minute
	// maxQueue bounds the claims of one customer in one data centre.
	maxQueue = 4096
	// reportThreshold is the relative change of a demand that is reported to the leader at once.
	reportThreshold = 0.1
	// fullReportInterval is the number of reports from one that lists every customer with demand to the next: five seconds.
	fullReportInterval = 10
	// minDemand is the demand in tokens per second below which a customer is idle.
	minDemand = 0.5
	// prefetchShare is the part of the level that may be lent without a claim, so that many instances together cannot
	// hold a burst unused.
	prefetchShare = 0.125
	// reportEvery is the interval of reports of use: the coordinator does not refill lent tokens before they are
	// reported as spent.
	reportEvery = 200 * time.Millisecond
	// closeLead is how long before its deadline a batch is returned; it covers two reports and a resend.
	closeLead = 500 * time.Millisecond
	// idleReturn is how long a customer's tokens stay unused before they are returned.
	idleReturn = 300 * time.Millisecond
	// roomReportEvery replaces reportEvery for customers with room.
	roomReportEvery = 2 * time.Second
	// roomHorizon is the time whose demand an instance holds tokens for, for a customer with room; it fits the useful
	// part of roomLife.
	roomHorizon = 4 * time.Second
	// roomBorrowDelay is how long borrowing for customers with room waits, so that one message serves many of them. The
	// tokens of half of roomHorizon last longer.
	roomBorrowDelay = time.Second
	// roomIdle is the longest time that tokens of a customer with room stay unused before they are returned. They are
	// returned earlier after roomIdleGaps mean intervals between its requests.
	roomIdle     = 4 * time.Second
	roomIdleGaps = 5
	// prefetchHorizon is the time whose demand an instance holds tokens for; half of it covers a borrow and its resend.
	prefetchHorizon = 400 * time.Millisecond
	// typicalWindow is the number of requests over which their mean size is taken.
	typicalWindow = 8
	// localBucketRetention is how long an instance keeps the demand of an idle customer.
	localBucketRetention = 5 * time.Second
	// resendAfter is the time after which an unanswered message is sent again; a round trip takes about 2 ms.
	resendAfter = 100 * time.Millisecond
	// longestRequest is the wait of a request whose context has no deadline.
	longestRequest = 30 * time.Second
	// maxItems bounds one message to about 100 KB.
	maxItems = 1024
	// maxWaiters bounds the waiting requests of one customer at one instance.
	maxWaiters = 1024
	// shortageTolerance in tokens is below any request and above the rounding of sums.
	shortageTolerance = 1e-6
	// openGrants bounds the credit history of a customer to 4 KB. Nine instances that report every 100 ms fill it in
	// 2.8 s; afterwards adjacent entries are merged.
	openGrants = 256
)

// CoordinatorOptions are the settings of a Coordinator.
type CoordinatorOptions struct {
	DataCentre    string
	Life          time.Duration             // of a batch
	RoomLife      time.Duration             // of a batch of a customer with room
	RoomShare     float64                   // of the burst that may be lent in such batches
	Margin        time.Duration             // added to a life by the coordinator
	Silence       time.Duration             // after which an instance's claims no longer delay others
	PrefetchShare float64                   // of the level
	Grants        int                       // bound of the credit history of a customer
	Recorded      map[string]registry.Share // by customer, the newest shares that the keepers recorded

	// Each mutation disables one safety rule; only tests set them.
	naiveCredit       bool // credit up to the burst at settlement
	fullStart         bool // start with a full bucket
	applyResent       bool // apply resent messages again
	freeExpired       bool // give back the batches of lost instances
	earlyRefill       bool // refill before the previous coordinator's batches have expired
	ignoreRoomBatches bool // ignore the previous coordinator's batches of customers with room
}

// CoordinatorOption sets one of the CoordinatorOptions.
type CoordinatorOption func(*CoordinatorOptions)

func defaultCoordinatorOptions() CoordinatorOptions {
	return CoordinatorOptions{
		Life: batchLife, RoomLife: roomLife, RoomShare: roomShare, Margin: batchMargin, Silence: holderSilence, PrefetchShare: prefetchShare, Grants: openGrants,
	}
}

// WithDataCentre sets the name of the data centre.
func WithDataCentre(name string) CoordinatorOption {
	return func(o *CoordinatorOptions) { o.DataCentre = name }
}

// WithRecorded sets the shares that a majority of the keepers recorded, read after winning the lease. They
// keep a new coordinator with an old configuration from using a share that was already reduced.
func WithRecorded(shares []registry.Share) CoordinatorOption {
	return func(o *CoordinatorOptions) {
		o.Recorded = map[string]registry.Share{}
		for _, s := range shares {
			o.Recorded[s.Customer] = s
		}
	}
}

// WithBatchLife sets the life of a batch; all coordinators of a data centre use the same.
func WithBatchLife(life, margin time.Duration) CoordinatorOption {
	return func(o *CoordinatorOptions) { o.Life, o.Margin = life, margin }
}

// Options are the settings of an Admission.
type Options struct {
	Now         func() time.Time // monotonic
	Incarnation uint64           // of this process; higher than that of any earlier one with the same name
	Limit       func(customer string) (limit registry.Customer, ok bool)
	Coordinator func() (name string, ok bool)                // of this data centre
	Lender      func(customer string) (name string, ok bool) // of this data centre; false for this instance itself
	Call        peer.Caller
	Logger      *slog.Logger
	Report      time.Duration // between reports of use
	Horizon     time.Duration // whose demand the instance holds tokens for
	Idle        time.Duration // after which unused tokens are returned
	Resend      time.Duration // after which an unanswered message is sent again

	lateLife  bool // mutation: counts the life of a batch from its arrival
	earlyLoan bool // mutation: counts a loan as spent when it is lent
}

// Option sets one of the Options.
type Option func(*Options)

func defaultOptions() Options {
	return Options{
		Now:         time.Now,
		Incarnation: 1,
		Limit:       func(string) (registry.Customer, bool) { return registry.Customer{}, false },
		Coordinator: func() (string, bool) { return "", false },
		Lender:      func(string) (string, bool) { return "", false },
		Call: func(context.Context, string, string, any, any) error {
			return Error.New("no links to other instances")
		},
		Report: reportEvery, Horizon: prefetchHorizon, Idle: idleReturn, Resend: resendAfter,
	}
}

// WithNow sets the clock, which must be monotonic.
func WithNow(now func() time.Time) Option {
	return func(o *Options) { o.Now = now }
}

// WithIncarnation sets the number of this start of the instance, higher than that of any earlier one.
func WithIncarnation(n uint64) Option {
	return func(o *Options) { o.Incarnation = n }
}

// WithLimit sets the lookup of a customer's limit; ok is false for a customer that is not configured.
func WithLimit(f func(customer string) (limit registry.Customer, ok bool)) Option {
	return func(o *Options) { o.Limit = f }
}

// WithCoordinator sets the lookup of the data centre's coordinator.
func WithCoordinator(f func() (name string, ok bool)) Option {
	return func(o *Options) { o.Coordinator = f }
}

// WithLender sets the lookup of the instance that holds tokens of a customer for others; ok is false for this one.
func WithLender(f func(customer string) (name string, ok bool)) Option {
	return func(o *Options) { o.Lender = f }
}

// WithCall sets how messages are sent.
func WithCall(c peer.Caller) Option {
	return func(o *Options) { o.Call = c }
}

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(o *Options) { o.Logger = l }
}

// WithReport sets the time between reports of use, and the horizon whose demand the instance holds tokens for.
func WithReport(every, horizon time.Duration) Option {
	return func(o *Options) { o.Report, o.Horizon = every, horizon }
}
