package admit

import (
	"context"
	"log/slog"
	"time"

	"github.com/zeebo/errs"

	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/limit/share"
	"lycheevale/internal/state/registry"
	"lycheevale/internal/wire/peer"
)

// ConfirmRequest reports to the leader which smaller shares are in effect in a data centre.
type ConfirmRequest struct {
	Shares []share.Confirmation `json:"Shares"`
}

// Server runs a Coordinator: it answers instances and exchanges messages with the leader.
type Server struct {
	options      ServerOptions
	coordinator  *Coordinator
	leaderSilent bool
}

// ServerOptions are the settings of a Server.
type ServerOptions struct {
	Now    func() time.Time
	Active func(now time.Time) bool // whether this instance still holds the coordinator's lease
	Leader func() (name string, ok bool)
	Call   peer.Caller
	Record func(ctx context.Context, shares []registry.Share) error // at a majority of the keepers
	Every  time.Duration                                            // between demand reports
	Logger *slog.Logger
}

// ServerOption sets one of the ServerOptions.
type ServerOption func(*ServerOptions)

// WithActive sets the check of the lease; a coordinator without its lease lends nothing.
func WithActive(f func(now time.Time) bool) ServerOption {
	return func(o *ServerOptions) { o.Active = f }
}

// WithLeader sets the lookup of the leader of the configuration log and how messages are sent to it.
func WithLeader(leader func() (string, bool), call peer.Caller) ServerOption {
	return func(o *ServerOptions) { o.Leader, o.Call = leader, call }
}

// WithRecord sets how smaller shares are recorded at a majority of the keepers before they are confirmed. The
// next coordinator reads them and passes them to WithRecorded.
func WithRecord(f func(ctx context.Context, shares []registry.Share) error) ServerOption {
	return func(o *ServerOptions) { o.Record = f }
}

// WithServerClock sets the monotonic clock.
func WithServerClock(now func() time.Time) ServerOption {
	return func(o *ServerOptions) { o.Now = now }
}

// WithServerLogger sets the logger.
func WithServerLogger(l *slog.Logger) ServerOption {
	return func(o *ServerOptions) { o.Logger = l }
}

// reportDemandEvery is half of the pause between two decreases of a share, so that the leader gets two reports in it.
const reportDemandEvery = 500 * time.Millisecond

// NewServer returns a Server for the coordinator. Without WithRecord it confirms no shares.
func NewServer(c *Coordinator, opts ...ServerOption) *Server {
	o := ServerOptions{
		Now:    time.Now,
		Active: func(time.Time) bool { return true },
		Leader: func() (string, bool) { return "", false },
		Record: func(context.Context, []registry.Share) error { return Error.New("no keepers are set") },
		Every:  reportDemandEvery,
	}
	for _, opt := range opts {
		opt(&o)
	}
	return &Server{options: o, coordinator: c}
}

// errNotCoordinator is returned to instances that address a former coordinator.
var errNotCoordinator = refusal.New(refusal.Unavailable, "this instance is not the coordinator")

// Borrow handles Limit.Borrow.
func (s *Server) Borrow(_ context.Context, from string, req BorrowRequest) (reply BorrowReply, err error) {
	now := s.options.Now()
	if !s.options.Active(now) {
		return reply, errNotCoordinator
	}
	return s.coordinator.Borrow(now, from, req), nil
}

// Return handles Limit.Return.
func (s *Server) Return(_ context.Context, from string, req ReturnRequest) (reply ReturnReply, err error) {
	now := s.options.Now()
	if !s.options.Active(now) {
		return reply, errNotCoordinator
	}
	return s.coordinator.Return(now, from, req), nil
}

// Run reports demand and confirms smaller shares until ctx ends.
func (s *Server) Run(ctx context.Context) (err error) {
	defer func() { err = Error.Wrap(err) }()
	event.Log(ctx, s.options.Logger, event.LimitTookOver, slog.Uint64("Epoch", s.coordinator.Epoch()))
	for {
		err := pause(ctx, s.options.Every)
		if errs.Is(err, context.Canceled) {
			return nil
		}
		if err != nil {
			return err
		}
		if s.options.Active(s.options.Now()) {
			s.Step(ctx)
		}
	}
}

// Step expires old state once, reports demand and confirms smaller shares.
func (s *Server) Step(ctx context.Context) {
	now := s.options.Now()
	s.coordinator.Tick(now)
	leader, known := s.options.Leader()
	if !known || s.options.Call == nil {
		s.logLeaderChange(ctx, false)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*s.options.Every)
	defer cancel()
	var group errgroup.Group // a slow confirmation must not delay the demand report
	group.Go(func() error { s.reportDemand(ctx, leader); return nil })
	group.Go(func() error { s.confirm(ctx, leader); return nil })
	_ = group.Wait()
}

func (s *Server) reportDemand(ctx context.Context, leader string) {
	var answer share.Answer
	err := s.options.Call(ctx, leader, MethodDemand, s.coordinator.Demand(s.options.Now()), &answer)
	s.logLeaderChange(ctx, err == nil)
	if err == nil {
		s.coordinator.SetOutlook(s.options.Now(), answer)
	}
}

func (s *Server) confirm(ctx context.Context, leader string) {
	list := s.coordinator.Unconfirmed(s.options.Now())
	if len(list) == 0 {
		return
	}
	shares := make([]registry.Share, len(list))
	for i, c := range list {
		shares[i] = c.Share
	}
	if err := s.options.Record(ctx, shares); err != nil {
		event.Log(ctx, s.options.Logger, event.LimitNotRecorded, slog.Any("Error", err))
		return
	}
	if s.options.Call(ctx, leader, MethodConfirm, ConfirmRequest{Shares: list}, nil) == nil {
		event.Log(ctx, s.options.Logger, event.LimitConfirmed, slog.Int("Shares", len(list)))
	}
}

// logLeaderChange logs when the leader starts or stops answering.
func (s *Server) logLeaderChange(ctx context.Context, ok bool) {
	if s.leaderSilent == !ok {
		return
	}
	s.leaderSilent = !ok
	if ok {
		event.Log(ctx, s.options.Logger, event.LimitLeaderFound)
	} else {
		event.Log(ctx, s.options.Logger, event.LimitLeaderSilent)
	}
}

// HandleCoordinator registers the messages of instances; current returns the running server, if any.
func HandleCoordinator(mux *peer.Mux, current func() (s *Server, ok bool)) {
	mux.Handle(MethodBorrow, peer.Typed(func(ctx context.Context, from string, req BorrowRequest) (BorrowReply, error) {
		s, ok := current()
		if !ok {
			return BorrowReply{}, errNotCoordinator
		}
		return s.Borrow(ctx, from, req)
	}))
	mux.Handle(MethodReturn, peer.Typed(func(ctx context.Context, from string, req ReturnRequest) (ReturnReply, error) {
		s, ok := current()
		if !ok {
			return ReturnReply{}, errNotCoordinator
		}
		return s.Return(ctx, from, req)
	}))
}
