// Package operator serves the HTTP API with which operators configure and observe the system.
package operator

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/justinas/alice"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/httpserver"
)

// Error is the class of errors of this package.
var Error = errs.Class("operator")

// shutdownTimeout bounds the wait for running requests when the server stops.
const shutdownTimeout = 5 * time.Second

// Server answers the requests of operators.
type Server struct {
	options    Options
	requests   chan struct{}
	urgent     chan struct{} // withdrawals, which must not wait for blocked changes
	watches    chan struct{}
	watching   context.Context // cancelled before the server waits for running requests
	endWatches context.CancelFunc
}

// New returns a server; WithSystem is required.
func New(opts ...Option) *Server {
	o := defaults()
	for _, opt := range opts {
		opt(&o)
	}
	s := &Server{
		options:  o,
		requests: make(chan struct{}, o.MaxRequests),
		urgent:   make(chan struct{}, o.MaxRequests),
		watches:  make(chan struct{}, o.MaxWatches),
	}
	s.watching, s.endWatches = context.WithCancel(context.Background())
	return s
}

// Handler returns the handler of the API.
func (s *Server) Handler() http.Handler {
	outer := alice.New(s.recoverPanic, s.setHeaders, s.identify)
	read := outer.Append(s.bounded(s.requests))
	write := read.Append(s.mayChange)
	urgent := outer.Append(s.bounded(s.urgent), s.mayChange)
	watch := outer.Append(s.bounded(s.watches))
	mux := http.NewServeMux()
	mux.Handle("GET /v1/objects/{kind}", read.ThenFunc(s.handle(s.listObjects)))
	mux.Handle("GET /v1/objects/{kind}/{name...}", read.ThenFunc(s.handle(s.getObject)))
	mux.Handle("GET /v1/limits", read.ThenFunc(s.handle(s.listLimits)))
	mux.Handle("GET /v1/status", read.ThenFunc(s.handle(s.status)))
	mux.Handle("GET /v1/endpoints", read.ThenFunc(s.handle(s.endpoints)))
	mux.Handle("GET /v1/burn", read.ThenFunc(s.handle(s.burn)))
	mux.Handle("GET /v1/audit", read.ThenFunc(s.handle(s.listAudit)))
	mux.Handle("POST /v1/changes", write.ThenFunc(s.handle(s.change)))
	mux.Handle("POST /v1/keys", write.ThenFunc(s.handle(s.issueKey)))
	mux.Handle("POST /v1/keys/{id}/withdraw", urgent.ThenFunc(s.handle(s.withdrawKey)))
	mux.Handle("GET /v1/watch", watch.ThenFunc(s.watch))
	mux.Handle("/", read.ThenFunc(s.handle(s.unknownPath)))
	return mux
}

// Run serves the listener until ctx ends, then waits a few seconds for running requests.
func (s *Server) Run(ctx context.Context, l net.Listener) (err error) {
	defer func() { err = Error.Wrap(err) }()
	group, ctx := errgroup.WithContext(ctx)
	server := httpserver.New(s.Handler())
	server.ReadHeaderTimeout, server.IdleTimeout, server.MaxHeaderBytes = s.options.HeaderRead, s.options.Idle, s.options.HeaderBytes
	server.ErrorLog = slog.NewLogLogger(s.options.Logger.Handler(), slog.LevelDebug)
	group.Go(func() error {
		if err := server.Serve(l); !errs.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-ctx.Done()
		s.endWatches()
		bounded, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := server.Shutdown(bounded); err != nil {
			return server.Close()
		}
		return nil
	})
	return group.Wait()
}
