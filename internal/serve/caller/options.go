package caller

import (
	"context"
	"log/slog"
	"net/http"
	"time"

	"lycheevale/internal/limit/buffers"
	"lycheevale/internal/serve/isolate"
	"lycheevale/internal/serve/owner"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/wire/strict"
)

// Target is the endpoint selected for an attempt and the function that dispatches to its owner.
type Target struct {
	Endpoint string
	Dispatch func(ctx context.Context, r owner.Request) (*owner.Stream, error)
}

// PlainTarget is an endpoint of a plain service; Done must be called when its request has ended.
type PlainTarget struct {
	Endpoint string
	Address  string // host and port
	Born     uint64 // incarnation
	Done     func()
}

// Reservation holds tokens of a customer until Settle returns the unused ones.
type Reservation struct {
	Settle func(used int)
}

// Claim is the right to run one non-idempotent request.
type Claim struct {
	Stored  *StoredResponse                                    // set if the request has already run
	Finish  func(ctx context.Context, r *StoredResponse) error // records the response
	Release func(ctx context.Context) error                    // records that the request is known not to have run
}

// StoredResponse is a response kept for resends with the same Idempotency-Key.
type StoredResponse struct {
	Status      int    `json:"Status"`
	ContentType string `json:"ContentType"`
	Body        []byte `json:"Body"`
}

// Step names a step of a request for Trace.
type Step string

// Steps of a request in order; StepClaim applies only to non-idempotent requests with an Idempotency-Key.
const (
	StepIdentify  Step = "identify"
	StepAdmit     Step = "admit"
	StepClaim     Step = "claim"
	StepChoose    Step = "choose"
	StepDispatch  Step = "dispatch"
	StepFirstByte Step = "first byte"
	StepMidStream Step = "mid-stream"
	StepEnd       Step = "end"
	StepSettle    Step = "settle"
)

// midStreamEvent is the sequence number of the event at which StepMidStream is traced.
const midStreamEvent = 4

// Rules are safety checks; all are enabled by default, and only mutation tests disable one.
type Rules struct {
	CheckCustomer bool // an adapter serves only its own customer, unless it is open
	RemoveKeys    bool // keys are not forwarded to endpoints
	RecheckKeys   bool // running requests end when their key is withdrawn
	RememberRuns  bool // the outcome is unknown once any attempt may have run
	RunOnce       bool // a non-idempotent request that may have run is not retried
	AwaitState    bool // requests are refused until configuration and withdrawn keys are loaded
}

// Options are the settings and dependencies of a Server.
type Options struct {
	Trace func(r *http.Request, step Step) // called before each step

	Logger         *slog.Logger
	Registry       *registry.Registry
	Now            func() time.Time
	Withdrawn      func(keyID string) bool
	Known          func() bool // configuration and withdrawn keys have been loaded since the start
	Stale          func() bool // this instance may lack withdrawals made on other instances
	Reserve        func(ctx context.Context, customer string, tokens int) (Reservation, error)
	Choose         func(now time.Time, r owner.Request, tried []string) (Target, error)
	ChoosePlain    func(service string, tried []string) (PlainTarget, error)
	Claim          func(ctx context.Context, customer, key, fingerprint string) (Claim, error)
	Observe        func(Outcome)
	Recorder       *isolate.Recorder // of crashes and begins
	PlainTransport http.RoundTripper
	Buffers        *buffers.Budget // of responses of plain services
	MaxBody        int64           // bytes
	MaxResponse    int64           // bytes of a plain service's response
	DefaultTimeout time.Duration   // of a request
	MaxTimeout     time.Duration
	MaxOutput      int // default output limit in tokens
	MaxAttempts    int
	RetryBudget    float64 // average number of retries allowed per request
	RecheckEvery   time.Duration
	WriteTimeout   time.Duration // of one event to a caller
	Rules          Rules
}

const (
	// defaultBuffers is the memory in bytes for responses of plain services, a third of what an instance of the target size has free. Half of
	// it holds the largest response that the default settings allow.
	defaultBuffers = 40 << 20
	// shortResponse is the size in bytes up to which a response may use all of that memory; longer ones leave half of it.
	shortResponse = 8 << 10
)

// Option sets one of the Options.
type Option func(*Options)

// With sets several options in one function.
func With(f func(*Options)) Option { return f }

func defaults() Options {
	return Options{
		Logger:    slog.Default(),
		Registry:  registry.New(),
		Now:       time.Now,
		Withdrawn: func(string) bool { return false },
		Known:     func() bool { return true },
		Stale:     func() bool { return false },
		Reserve: func(context.Context, string, int) (Reservation, error) {
			return Reservation{Settle: func(int) {}}, nil
		},
		Observe:        func(Outcome) {},
		Recorder:       isolate.New(),
		Trace:          func(*http.Request, Step) {},
		PlainTransport: strict.Transport{RoundTripper: newPlainTransport()},
		Buffers:        buffers.New(defaultBuffers),
		MaxBody:        4 << 20,
		MaxResponse:    4 << 20,
		DefaultTimeout: time.Minute,
		MaxTimeout:     10 * time.Minute,
		MaxOutput:      256,
		MaxAttempts:    3,
		RetryBudget:    0.2,
		RecheckEvery:   500 * time.Millisecond,
		WriteTimeout:   10 * time.Second,
		Rules:          Rules{CheckCustomer: true, RemoveKeys: true, RecheckKeys: true, RememberRuns: true, RunOnce: true, AwaitState: true},
	}
}
