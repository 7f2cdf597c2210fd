package upstream

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"
)

// Options are the settings of a Pool.
type Options struct {
	DialTimeout  time.Duration // to connect to an endpoint
	IdleTimeout  time.Duration // after which an idle connection is closed, unless the endpoint states a shorter time
	MaxIdle      int           // maximum number of idle connections to one endpoint
	MaxStale     int           // maximum number of answers to earlier requests that are skipped for one request
	MaxHead      int           // maximum size in bytes of the head of an answer, with the informational answers before it
	MaxHeadLines int           // maximum number of lines of a head, apart from those that arrive with the answer before it
	MaxSkipped   int64         // maximum size in bytes of the body of an answer that is skipped
	Dial         func(ctx context.Context, to netip.AddrPort) (net.Conn, error)
	// Attempt returns the identifier that an answer echoes, or "" if it has none. Without it, late answers are not recognised.
	Attempt func(h http.Header) string
	Now     func() time.Time
}

// Option sets one of the Options.
type Option func(*Options)

const (
	// defaultDialTimeout is over six round trips between regions; TCP retransmits a lost SYN only after a second.
	defaultDialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is below the shortest time after which endpoints close idle connections.
	defaultIdleTimeout = 4 * time.Second
	defaultMaxIdle     = 64
	defaultMaxStale    = 3
	// defaultMaxHead is several times the largest head that endpoints send.
	defaultMaxHead = 64 << 10
	// defaultMaxHeadLines is several times the number of fields that endpoints send. A field takes a few hundred bytes of memory, however short it is.
	defaultMaxHeadLines = 256
	// defaultMaxSkipped is far above the size of an answer that is no stream.
	defaultMaxSkipped = 1 << 20
)

func newOptions(opts []Option) Options {
	o := Options{
		DialTimeout: defaultDialTimeout, IdleTimeout: defaultIdleTimeout, MaxIdle: defaultMaxIdle, MaxStale: defaultMaxStale,
		MaxHead: defaultMaxHead, MaxHeadLines: defaultMaxHeadLines, MaxSkipped: defaultMaxSkipped,
		Dial: func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", to.String())
		},
		Now: time.Now,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// WithAttempt sets the function that returns the identifier echoed by an answer.
func WithAttempt(f func(h http.Header) string) Option {
	return func(o *Options) { o.Attempt = f }
}

// WithDial replaces the function that opens connections.
func WithDial(f func(ctx context.Context, to netip.AddrPort) (net.Conn, error)) Option {
	return func(o *Options) { o.Dial = f }
}

// WithNow replaces the clock.
func WithNow(f func() time.Time) Option {
	return func(o *Options) { o.Now = f }
}
