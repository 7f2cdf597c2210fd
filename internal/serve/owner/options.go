package owner

import (
	"log/slog"
	"net/netip"
	"time"

	"lycheevale/internal/place/scheduler"
	"lycheevale/internal/serve/engine"
	"lycheevale/internal/serve/isolate"
)

// Rules are safety checks; all are enabled by default, and only mutation tests disable one.
type Rules struct {
	CheckOrder bool // drop repeated events, and treat a gap as a truncated stream
}

// AllRules returns the rules with all of them enabled.
func AllRules() Rules { return Rules{CheckOrder: true} }

// Options are the settings of an Owner.
type Options struct {
	Rules        Rules
	Logger       *slog.Logger
	Scheduler    *scheduler.Scheduler
	Now          func() time.Time
	Client       func(address netip.AddrPort) *engine.Client
	PollInterval time.Duration // between two load reports of an endpoint
	IdleTimeout  time.Duration // without any event on a stream
	ProbeTimeout time.Duration
	LoadTimeout  time.Duration                       // deadline of a load command
	LeaseMargin  time.Duration                       // no use of the lease this long before its deadline
	MaxResumes   int                                 // per stream
	MissedPolls  int                                 // consecutive failed polls until an endpoint is considered unreachable
	Source       func(a scheduler.AdapterRef) string // identifier in the weight store
	LoadEnded    func(endpoint string, a scheduler.AdapterRef)
	Recorder     *isolate.Recorder // of crashes and begins
}

// Option sets one of the Options.
type Option func(*Options)

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(o *Options) { o.Logger = l }
}

// WithRules sets the safety checks; mutation tests use it to disable one.
func WithRules(r Rules) Option {
	return func(o *Options) { o.Rules = r }
}

// WithScheduler sets the scheduler; nothing else may use it.
func WithScheduler(s *scheduler.Scheduler) Option {
	return func(o *Options) { o.Scheduler = s }
}

// WithClient sets how engine clients are made.
func WithClient(f func(address netip.AddrPort) *engine.Client) Option {
	return func(o *Options) { o.Client = f }
}

// WithIdleTimeout sets the longest time between two events of a stream.
func WithIdleTimeout(d time.Duration) Option {
	return func(o *Options) { o.IdleTimeout = d }
}

// WithPollInterval sets the time between two load reports of an endpoint.
func WithPollInterval(d time.Duration) Option {
	return func(o *Options) { o.PollInterval = d }
}

// WithSource sets the function that returns the location of an adapter version's weights in the weight store.
func WithSource(f func(a scheduler.AdapterRef) string) Option {
	return func(o *Options) { o.Source = f }
}

// WithLoadEnded sets a function that is called when a load command has ended; it must not block.
func WithLoadEnded(f func(endpoint string, a scheduler.AdapterRef)) Option {
	return func(o *Options) { o.LoadEnded = f }
}

// WithRecorder sets the recorder of crashes and begins.
func WithRecorder(r *isolate.Recorder) Option {
	return func(o *Options) { o.Recorder = r }
}

func defaults() Options {
	return Options{
		Rules: AllRules(), Logger: slog.Default(), Scheduler: scheduler.New(), Now: time.Now,
		Client:       func(a netip.AddrPort) *engine.Client { return engine.New(a) },
		PollInterval: 250 * time.Millisecond, IdleTimeout: 2 * time.Second, ProbeTimeout: 500 * time.Millisecond,
		LoadTimeout: 5 * time.Second, LeaseMargin: 200 * time.Millisecond, MaxResumes: 3, MissedPolls: 4,
		Source:    func(a scheduler.AdapterRef) string { return target(a, "") },
		LoadEnded: func(string, scheduler.AdapterRef) {},
		Recorder:  isolate.New(),
	}
}
