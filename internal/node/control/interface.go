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

// answerTime leaves a caller that waits a second the time to go to another instance.
const answerTime = 900 * time.Millisecond

// acknowledged answers an announcement; an instance that does not lead has done nothing with it.
type acknowledged struct {
	Leading bool `json:"Leading"`
	Invalid bool `json:"Invalid,omitempty"`
}

// stored is the newest configuration with its version.
type stored struct {
	Leading bool   `json:"Leading"`
	Version uint64 `json:"Version"`
	Packed  []byte `json:"Packed,omitempty"`
}

type empty struct{}

func (c *Control) handle() {
	c.mux.Handle(report.GossipMethod, peer.Typed(func(_ context.Context, from string, h hello) (hello, error) {
		c.hear(from, h)
		return hello{Known: c.others()}, nil
	}))
	c.mux.Handle(report.SyncMethod, peer.Typed(c.sync))
	c.mux.Handle(report.PlaceMethod, peer.Typed(c.want))
	c.mux.Handle(report.BorrowMethod, peer.Typed(c.borrow))
	c.mux.Handle(report.AnnounceMethod, peer.Typed(c.receive))
	c.mux.Handle(report.ReadMethod, peer.Typed(c.readHere))
}

// Announce passes an announcement of an endpoint to the leader, and returns the control interface to announce to next. An
// endpoint that leaves is acknowledged only by the leader, since entries follow the leader.
func (c *Control) Announce(ctx context.Context, a roster.Announcement) (next netip.AddrPort, err error) {
	defer func() { err = Error.Wrap(err) }()
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	var answer acknowledged
	err = c.toLeader(ctx, report.AnnounceMethod, a, &answer, func() bool { return answer.Leading })
	if err != nil {
		return next, err
	}
	if answer.Invalid {
		return next, roster.ErrInvalid
	}
	c.mu.Lock()
	leader := c.leader
	c.mu.Unlock()
	if address, err := netip.ParseAddr(leader); err == nil {
		next = netip.AddrPortFrom(address, c.options.Settings.Listen.Control.Port())
	}
	return next, nil
}

func (c *Control) receive(ctx context.Context, from string, a roster.Announcement) (acknowledged, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.office == nil || c.leading() == 0 {
		return acknowledged{}, nil
	}
	changed, err := c.office.announce(a)
	if changed || err != nil {
		event.Log(ctx, c.options.Logger, event.EndpointAnnounced, slog.String("Endpoint", a.ID), slog.String("From", from),
			slog.String("Service", a.Service), slog.Any("Address", a.Address), slog.Int64("Born", a.Born),
			slog.Uint64("Sequence", a.Sequence), slog.Bool("Leaving", a.Leaving), slog.Bool("Gone", a.Gone), slog.Any("Error", err))
	}
	return acknowledged{Leading: true, Invalid: errs.Is(err, roster.ErrInvalid)}, nil
}

// Replace stores a configuration; the document has been decoded from content and checked. A version that is not higher
// than the stored one changes nothing and is no error.
func (c *Control) Replace(ctx context.Context, version uint64, content []byte) (err error) {
	c.mu.Lock()
	stored := c.machine.Stored()
	c.mu.Unlock()
	command, err := stored.ReplaceCommand(version, content)
	if err != nil {
		return Error.Wrap(err)
	}
	result, err := c.propose(ctx, command)
	id := event.ChangeApplied
	if err != nil {
		id = event.ChangeUncertain
	}
	event.Log(ctx, c.options.Logger, id, slog.Uint64("Version", version), slog.Int("Bytes", len(content)),
		slog.Bool("Stored", result.Stored), slog.Uint64("InEffect", result.Version), slog.Any("Error", err))
	return err
}

// SetAdapter names a new version of an adapter.
func (c *Control) SetAdapter(ctx context.Context, v document.AdapterVersion) (err error) {
	result, err := c.propose(ctx, document.Command{Action: document.SetAdapter, Adapter: v})
	id := event.ChangeApplied
	if err != nil {
		id = event.ChangeUncertain
	}
	event.Log(ctx, c.options.Logger, id, slog.String("Model", v.Model), slog.String("Adapter", v.Adapter),
		slog.Int("AdapterVersion", v.Version), slog.Bool("Stored", result.Stored), slog.Any("Error", err))
	return err
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
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	answer, err := v.Propose(ctx, data)
	if err != nil {
		return result, err
	}
	return result, json.Unmarshal(answer, &result)
}

// Read returns the newest configuration, or ErrUnavailable if this cannot be told. Content is empty if there is none.
func (c *Control) Read(ctx context.Context) (content []byte, err error) {
	defer func() { err = Error.Wrap(err) }()
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	var answer stored
	err = c.toLeader(ctx, report.ReadMethod, empty{}, &answer, func() bool { return answer.Leading })
	if err != nil || len(answer.Packed) == 0 {
		return nil, err
	}
	return document.Unpack(answer.Packed)
}

// readHere answers from this instance's state after a barrier has shown that it is the newest.
func (c *Control) readHere(ctx context.Context, _ string, _ empty) (s stored, err error) {
	c.mu.Lock()
	machine, leads := c.machine, c.office != nil
	c.mu.Unlock()
	if !leads {
		return s, nil
	}
	result, err := c.propose(ctx, document.Command{Action: document.Barrier})
	if err != nil {
		return s, err
	}
	now := machine.Stored()
	// The barrier may have been carried out by another leader.
	if now.Version < result.Version {
		return s, nil
	}
	return stored{Leading: true, Version: now.Version, Packed: now.Packed}, nil
}

// want answers an entry that needs an adapter. It tries further endpoints where an order fails, and waits a moment in line
// for a place that is being freed.
func (c *Control) want(ctx context.Context, from string, w report.PlacementRequest) (report.PlacementReply, error) {
	latest := c.options.Now().Add(placeWait)
	for orders := 0; orders <= wantOrders; {
		c.mu.Lock()
		if c.office == nil || c.leading() == 0 {
			leader := c.leader
			c.mu.Unlock()
			return report.PlacementReply{Leader: leader}, nil
		}
		placed, accepted := c.office.want(ctx, from, w)
		now := c.options.Now()
		var turn chan struct{}
		if placed.Endpoint == "" && !w.Replicate && now.Before(latest) && c.office.placer.MayFreePlace(now) {
			turn = c.office.queue()
		} else if placed.Endpoint == "" {
			c.office.logPlaced(ctx, from, w, residency.Choice{})
		}
		c.mu.Unlock()
		switch {
		case turn != nil:
			if !awaitTurn(ctx, turn, latest.Sub(now)) {
				return placed, ctx.Err()
			}
		case accepted == nil:
			return placed, nil
		case wasAccepted(ctx, accepted):
			return c.placed(placed, w), nil
		default:
			orders++
		}
	}
	return report.PlacementReply{Leading: true}, ctx.Err()
}

const (
	// wantOrders is the number of further endpoints that are tried for an adapter.
	wantOrders = 2
	// placeWait is the time that a request is held for a place that is being freed, two thirds of the shortest objective of a
	// stream.
	placeWait = 400 * time.Millisecond
)

// awaitTurn waits until a place is free or the time is over, and tells whether the caller still waits.
func awaitTurn(ctx context.Context, turn <-chan struct{}, longest time.Duration) bool {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-turn:
	case <-timer.C:
	}
	return true
}

func wasAccepted(ctx context.Context, accepted <-chan bool) bool {
	select {
	case ok := <-accepted:
		return ok
	case <-ctx.Done():
		return false
	}
}

// placed fills in the time at which the load that was ordered ends.
func (c *Control) placed(p report.PlacementReply, w report.PlacementRequest) report.PlacementReply {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.office == nil {
		return p
	}
	now := c.options.Now()
	if at, ok := c.office.placer.ReadyAt(p.Endpoint, w.Adapter); ok {
		p.InMillis = max(at.Sub(now), 0).Milliseconds()
	}
	return p
}

// borrow admits requests that an entry's tokens do not fit.
func (c *Control) borrow(_ context.Context, _ string, l report.LoanRequest) (report.LoanReply, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.office == nil || c.leading() == 0 {
		return report.LoanReply{}, nil
	}
	now := c.options.Now()
	limit := c.office.limits[l.Customer] // a customer without a limit has a zero rate
	answer := report.LoanReply{Leading: true}
	for _, tokens := range l.Requests {
		retryAt, admitted := c.office.pool.Borrow(now, l.Customer, tokens, limit)
		answer.Add(now, retryAt, admitted)
	}
	return answer, nil
}
