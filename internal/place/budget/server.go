package budget

import (
	"context"
	"sync"
	"time"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/wire/peer"
)

// Methods of the messages between owners and the coordinator.
const (
	MethodAcquire = "Budget.Acquire"
	MethodRelease = "Budget.Release"
)

// AcquireRequest requests permits. An owner resends it with all its waiting loads until they are granted.
type AcquireRequest struct {
	Incarnation uint64 `json:"Incarnation"` // of the owner's process
	Loads       []Load `json:"Loads"`
}

// Load is a load that needs a permit or, with Extend, one that is still running.
type Load struct {
	ID     uint64        `json:"ID"`
	Refill bool          `json:"Refill,omitempty"`
	Yield  bool          `json:"Yield,omitempty"` // after all other loads
	Extend bool          `json:"Extend,omitempty"`
	Work   float64       `json:"Work,omitempty"` // tokens of waiting requests
	Left   time.Duration `json:"Left"`           // time for which the load is wanted
}

// AcquireReply lists the permits of the requested loads, including those granted earlier.
type AcquireReply struct {
	Permits []Granted     `json:"Permits,omitempty"`
	Next    time.Duration `json:"Next,omitempty"` // when to ask again for the others
}

// Granted is a permit as its owner sees it.
type Granted struct {
	ID   uint64        `json:"ID"`
	Life time.Duration `json:"Life"` // counted from the first sending for the load, or the sending of the Extend
}

// ReleaseRequest ends loads.
type ReleaseRequest struct {
	Incarnation uint64   `json:"Incarnation"`
	IDs         []uint64 `json:"IDs"`
}

// Bounds of the time after which an owner requests its remaining permits again.
const (
	shortestPoll = 50 * time.Millisecond
	longestPoll  = 250 * time.Millisecond
)

// Server answers owners with a Budget. It is safe for concurrent use.
type Server struct {
	mu     sync.Mutex
	budget *Budget
	now    func() time.Time
	active func(now time.Time) bool
}

// NewServer returns a server for a budget. The function active reports whether this instance holds the coordinator's lease.
func NewServer(b *Budget, now func() time.Time, active func(now time.Time) bool) *Server {
	return &Server{budget: b, now: now, active: active}
}

// Update calls f with the budget, for instance to change its share.
func (s *Server) Update(f func(now time.Time, b *Budget)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.now(), s.budget)
}

var errNotCoordinator = refusal.New(refusal.Unavailable, "this instance is not the coordinator")

// Acquire handles Budget.Acquire.
func (s *Server) Acquire(_ context.Context, from string, req AcquireRequest) (reply AcquireReply, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.active(now) {
		return reply, errNotCoordinator
	}
	s.budget.Restarted(now, from, req.Incarnation)
	for _, l := range req.Loads {
		k := Key{Owner: from, Incarnation: req.Incarnation, ID: l.ID}
		if p, ok := s.acquire(now, k, l); ok {
			reply.Permits = append(reply.Permits, Granted{ID: l.ID, Life: p.Life})
		}
	}
	if len(reply.Permits) < len(req.Loads) {
		reply.Next = min(max(s.budget.NextWake(now).Sub(now), shortestPoll), longestPoll)
	}
	return reply, nil
}

func (s *Server) acquire(now time.Time, k Key, l Load) (Permit, bool) {
	if l.Extend {
		return s.budget.Extend(now, k)
	}
	return s.budget.Acquire(now, Request{Key: k, Refill: l.Refill, Yield: l.Yield, Work: l.Work, Deadline: now.Add(l.Left)})
}

// Release handles Budget.Release.
func (s *Server) Release(_ context.Context, from string, req ReleaseRequest) (none struct{}, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if !s.active(now) {
		return none, errNotCoordinator
	}
	for _, id := range req.IDs {
		s.budget.Release(now, Key{Owner: from, Incarnation: req.Incarnation, ID: id})
	}
	return none, nil
}

// Handle registers the handlers for messages of owners. The function current returns the running server, if any.
func Handle(mux *peer.Mux, current func() (s *Server, ok bool)) {
	mux.Handle(MethodAcquire, peer.Typed(func(ctx context.Context, from string, req AcquireRequest) (AcquireReply, error) {
		s, ok := current()
		if !ok {
			return AcquireReply{}, errNotCoordinator
		}
		return s.Acquire(ctx, from, req)
	}))
	mux.Handle(MethodRelease, peer.Typed(func(ctx context.Context, from string, req ReleaseRequest) (struct{}, error) {
		s, ok := current()
		if !ok {
			return struct{}{}, errNotCoordinator
		}
		return s.Release(ctx, from, req)
	}))
}
