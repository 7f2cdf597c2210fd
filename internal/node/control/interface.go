package control

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/netip"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/base/event"
	"lycheevale/internal/member/report"
	"lycheevale/internal/member/roster"
	"lycheevale/internal/place/residency"
	"lycheevale/internal/state/document"
	"lycheevale/internal/wire/peer"
)

// requestTimeout leaves a caller that waits a second enough time to try another instance.
const requestTimeout = 900 * time.Millisecond

// announceReply answers an announcement; an instance that does not lead ignores the announcement.
type announceReply struct {
	Leading bool `json:"Leading"`
	Invalid bool `json:"Invalid,omitempty"`
	Full    bool `json:"Full,omitempty"`
}

// readReply holds the newest configuration and its version.
type readReply struct {
	Leading bool   `json:"Leading"`
	Version uint64 `json:"Version"`
	Packed  []byte `json:"Packed,omitempty"`
}

type empty struct{}

func (c *Control) handle() {
	c.mux.Handle(report.GossipMethod, peer.Typed(func(_ context.Context, from string, g gossip) (gossip, error) {
		c.recordGossip(from, g)
		return c.ownGossip(), nil
	}))
	c.mux.Handle(report.SyncMethod, peer.Typed(c.handleSync))
	c.mux.Handle(report.PlaceMethod, peer.Typed(c.handlePlace))
	c.mux.Handle(report.BorrowMethod, peer.Typed(c.handleBorrow))
	c.mux.Handle(report.OriginMethod, peer.Typed(c.handleOrigin))
	c.mux.Handle(report.AnnounceMethod, peer.Typed(c.handleAnnounce))
	c.mux.Handle(report.ReadMethod, peer.Typed(c.handleRead))
}

// Announce forwards an announcement of an endpoint to the leader, and returns the control interface for the next announcement.
// Only the leader acknowledges that an endpoint leaves, since entries get their endpoints from it.
func (c *Control) Announce(ctx context.Context, a roster.Announcement) (next netip.AddrPort, err error) {
	defer func() { err = Error.Wrap(err) }()
	if err := a.Check(); err != nil {
		event.Log(ctx, c.options.Logger, event.EndpointAnnounced, slog.Any("Error", err))
		return next, err
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	a.SoftwareStated = true
	var answer announceReply
	err = c.callLeader(ctx, report.AnnounceMethod, a, &answer, func() bool { return answer.Leading })
	if err != nil {
		return next, err
	}
	switch {
	case answer.Invalid:
		return next, roster.ErrInvalid
	case answer.Full:
		return next, roster.ErrFull
	}
	c.mu.Lock()
	leader := c.leader
	c.mu.Unlock()
	if address, err := netip.ParseAddr(leader); err == nil {
		next = netip.AddrPortFrom(address, c.options.Settings.Listen.Control.Port())
	}
	return next, nil
}

func (c *Control) handleAnnounce(ctx context.Context, from string, a roster.Announcement) (announceReply, error) {
	reply, departures := c.recordAnnouncement(ctx, from, a)
	if len(departures.Depart) == 0 {
		return reply, nil
	}
	// An endpoint relies on the acknowledgement of its departure, which therefore has to outlive this leader.
	_, err := c.propose(ctx, departures)
	event.Log(ctx, c.options.Logger, event.EndpointDeparted, slog.Any("Departures", departures.Depart), slog.Any("Forgotten", departures.Forget),
		slog.Any("Error", err))
	return reply, err
}

// recordAnnouncement records an announcement, and returns the command that stores the departure which it has caused.
func (c *Control) recordAnnouncement(ctx context.Context, from string, a roster.Announcement) (reply announceReply, departures document.Command) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ls := c.acting()
	if ls == nil || ls.mayInherit(a) {
		return reply, departures
	}
	if err := a.Check(); err != nil {
		// The fields may be of any length; the error is not.
		event.Log(ctx, c.options.Logger, event.EndpointAnnounced, slog.String("From", from), slog.Any("Error", err))
		return announceReply{Leading: true, Invalid: true}, departures
	}
	if !ls.admitsSoftware(a) {
		return reply, departures // the instance that passes it on repeats it
	}
	changed, err := ls.announce(a)
	if changed || err != nil {
		event.Log(ctx, c.options.Logger, event.EndpointAnnounced, slog.String("Endpoint", a.ID), slog.String("From", from),
			slog.String("Service", a.Service), slog.Any("Address", a.Address), slog.Int64("Born", a.Born),
			slog.Uint64("Sequence", a.Sequence), slog.String("Software", a.Software), slog.Bool("Leaving", a.Leaving), slog.Bool("Gone", a.Gone), slog.Any("Error", err))
	}
	return announceReply{Leading: true, Full: errs.Is(err, roster.ErrFull)}, ls.departureCommand(a)
}

// Replace stores a configuration, whose content the caller has decoded and checked. A version that is not higher than the
// stored one changes nothing and is no error; it needs no leader, since what is stored here is committed.
func (c *Control) Replace(ctx context.Context, version uint64, content []byte) (err error) {
	started := c.options.Now()
	c.mu.Lock()
	stored := c.machine.Stored()
	c.mu.Unlock()
	result := document.Result{Version: stored.Version}
	if !stored.HoldsDocument(version) {
		result, err = c.proposeDocument(ctx, stored, version, content)
	}
	id := event.ChangeApplied
	if err != nil {
		id = event.ChangeUncertain
	}
	event.Log(ctx, c.options.Logger, id, slog.Uint64("Version", version), slog.Int("Bytes", len(content)),
		slog.Bool("Stored", result.Stored), slog.Uint64("InEffect", result.Version), slog.Int64("AfterMillis", c.options.Now().Sub(started).Milliseconds()), slog.Any("Error", err))
	return err
}

// SetAdapter sets the current version of an adapter, like Replace.
func (c *Control) SetAdapter(ctx context.Context, v document.AdapterVersion) (err error) {
	started := c.options.Now()
	c.mu.Lock()
	stored := c.machine.Stored()
	c.mu.Unlock()
	result := document.Result{Version: stored.Version}
	if !stored.HoldsAdapter(v) {
		result, err = c.propose(ctx, document.Command{Action: document.SetAdapter, Adapter: v})
	}
	id := event.ChangeApplied
	if err != nil {
		id = event.ChangeUncertain
	}
	event.Log(ctx, c.options.Logger, id, slog.String("Model", v.Model), slog.String("Adapter", v.Adapter),
		slog.Int("AdapterVersion", v.Version), slog.Bool("Stored", result.Stored),
		slog.Int64("AfterMillis", c.options.Now().Sub(started).Milliseconds()), slog.Any("Error", err))
	return err
}

func (c *Control) proposeDocument(ctx context.Context, stored document.Stored, version uint64, content []byte) (r document.Result, err error) {
	command, err := stored.ReplaceCommand(version, content)
	if err != nil {
		return r, Error.Wrap(err)
	}
	return c.propose(ctx, command)
}

func (c *Control) propose(ctx context.Context, command document.Command) (result document.Result, err error) {
	defer func() { err = Error.Wrap(err) }()
	data, err := json.Marshal(command)
	if err != nil {
		return result, err
	}
	c.mu.Lock()
	v := c.voter
	c.mu.Unlock()
	if v == nil {
		return result, ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	answer, err := v.Propose(ctx, data)
	if err != nil {
		return result, err
	}
	return result, json.Unmarshal(answer, &result)
}

// Read returns the newest configuration, or ErrUnavailable if no leader confirms it. Content is empty if there is none.
func (c *Control) Read(ctx context.Context) (content []byte, err error) {
	defer func() { err = Error.Wrap(err) }()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var answer readReply
	err = c.callLeader(ctx, report.ReadMethod, empty{}, &answer, func() bool { return answer.Leading })
	if err != nil || len(answer.Packed) == 0 {
		return nil, err
	}
	return document.Unpack(answer.Packed)
}

// handleRead answers from the local state after a barrier in the log has shown that it is current.
func (c *Control) handleRead(ctx context.Context, _ string, _ empty) (s readReply, err error) {
	c.mu.Lock()
	machine, leads := c.machine, c.state != nil
	c.mu.Unlock()
	if !leads {
		return s, nil
	}
	result, err := c.propose(ctx, document.Command{Action: document.Barrier})
	if err != nil {
		return s, err
	}
	current := machine.Stored()
	// Another leader may have committed the barrier.
	if current.Version < result.Version {
		return s, nil
	}
	return readReply{Leading: true, Version: current.Version, Packed: current.Packed}, nil
}

// handlePlace answers an entry that needs an adapter. If an order fails it tries other endpoints, and it queues the request up to
// maxPlaceWait for a place that is being freed.
func (c *Control) handlePlace(ctx context.Context, from string, w report.PlacementRequest) (report.PlacementReply, error) {
	waitUntil := c.options.Now().Add(maxPlaceWait)
	for orders := 0; orders <= maxPlacementRetries; {
		c.mu.Lock()
		ls := c.acting()
		if ls == nil {
			leader := c.leader
			c.mu.Unlock()
			return report.PlacementReply{Leader: leader}, nil
		}
		placed, accepted := ls.placeAdapter(ctx, from, w)
		now := c.options.Now()
		var ready chan struct{}
		if placed.Endpoint == "" && !w.Replicate && now.Before(waitUntil) && ls.placer.MayFreePlace(now) {
			ready = ls.addWaiter()
		} else if placed.Endpoint == "" {
			ls.logPlaced(ctx, from, w, residency.Choice{})
		}
		c.mu.Unlock()
		switch {
		case ready != nil:
			if !waitForPlace(ctx, ready, waitUntil.Sub(now)) {
				return placed, ctx.Err()
			}
		case accepted == nil:
			return placed, nil
		case waitAccepted(ctx, accepted):
			return c.withReadyTime(ls, placed, w), nil
		default:
			orders++
		}
	}
	return report.PlacementReply{Leading: true}, ctx.Err()
}

const (
	// maxPlacementRetries is the number of further endpoints that are tried after a failed order.
	maxPlacementRetries = 2
	// maxPlaceWait is the longest time that a request waits for a place that is being freed: two thirds of the shortest latency
	// objective of a stream.
	maxPlaceWait = 400 * time.Millisecond
)

// waitForPlace waits until a place is free or the time has elapsed, and reports whether ctx is still active.
func waitForPlace(ctx context.Context, ready <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-ready:
	case <-timer.C:
	}
	return true
}

func waitAccepted(ctx context.Context, accepted <-chan bool) bool {
	select {
	case ok := <-accepted:
		return ok
	case <-ctx.Done():
		return false
	}
}

// withReadyTime sets the time until the load that a leader has ordered is expected to end.
func (c *Control) withReadyTime(ls *leaderState, p report.PlacementReply, w report.PlacementRequest) report.PlacementReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !ls.acts() {
		return report.PlacementReply{Leader: c.leader}
	}
	now := c.options.Now()
	if at, ok := ls.placer.ReadyAt(p.Endpoint, w.Adapter); ok {
		p.InMillis = max(at.Sub(now), 0).Milliseconds()
	}
	return p
}

// handleBorrow admits requests that exceed an entry's tokens.
func (c *Control) handleBorrow(_ context.Context, _ string, l report.LoanRequest) (report.LoanReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ls := c.acting()
	if ls == nil {
		return report.LoanReply{}, nil
	}
	now := c.options.Now()
	pool, limit := ls.lender(l)
	answer := report.LoanReply{Leading: true}
	for i, tokens := range l.Requests {
		retryAt, admitted := pool.Borrow(now, l.Customer+l.Endpoint, tokens, limit, l.Order(i))
		answer.Add(now, retryAt, admitted)
	}
	return answer, nil
}
