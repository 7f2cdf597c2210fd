package caller

import (
	"context"
	"net/netip"
	"time"

	"lycheevale/internal/base/refusal"
	"lycheevale/internal/place/quarantine"
)

// sign sets the signatures by which the request is compared with repeats of it, also with another query.
func (x *exchange) sign(query string, body []byte) {
	x.signatures = []string{quarantine.Request([]byte(x.r.Method), []byte(x.r.URL.Path), []byte(query), []byte(x.customer), body)}
	if query != "" {
		x.signatures = append(x.signatures, quarantine.Target([]byte(x.r.Method), []byte(x.r.URL.Path), []byte(x.customer), body))
	}
}

// signShared adds the signatures that a request shares with others of its adapter and its customer.
func (s *Server) signShared(x *exchange) error {
	if x.ref.Adapter != "" {
		x.signatures = append(x.signatures, quarantine.Adapter(x.ref.Model, x.ref.Adapter+"@"+x.ref.Version))
	}
	if x.customer != "" {
		x.signatures = append(x.signatures, quarantine.Customer(x.customer))
	}
	return nil
}

// checkCompletion refuses a completion that no endpoint gets.
func (s *Server) checkCompletion(x *exchange) error { return s.checkQuarantine(x, x.ref.Model) }

// checkQuarantine refuses a request with a quarantined signature. A request that may try it is sent once.
func (s *Server) checkQuarantine(x *exchange, service string) error {
	if x.trial && !x.mayHaveRun {
		return nil
	}
	trial, err := s.options.Recorder.Check(service, x.signatures)
	x.trial = trial
	return err
}

// recordBegin records that an endpoint has begun to answer the request.
func (s *Server) recordBegin(x *exchange, service string) {
	if !x.begun {
		x.begun = true
		s.options.Recorder.Begun(service, x.signatures)
	}
}

// recordInterrupted records an attempt that ended without an answer. The request is a suspect if it was exposed to a crash before.
func (s *Server) recordInterrupted(ctx context.Context, x *exchange, service string, err error) {
	if err != nil && ctx.Err() == nil && !x.begun && refusal.From(err).Ran == refusal.Unknown {
		x.suspect = s.options.Recorder.Interrupted(service, x.signatures)
	}
}

// recordBroken records a call of a plain service whose connection broke before the whole answer arrived, or which this instance has ended before that.
func (s *Server) recordBroken(ctx context.Context, c *plainCall, target PlainTarget, sentAt time.Time, acknowledged bool) {
	address, err := netip.ParseAddrPort(target.Address)
	if err != nil {
		return
	}
	a := quarantine.Attempt{
		Incarnation: quarantine.Incarnation{Endpoint: target.Endpoint, Born: int64(target.Born)}, Service: c.route.service,
		Signatures: c.signatures, SentAt: sentAt, Acknowledged: acknowledged,
	}
	if ctx.Err() != nil { // this instance has ended it, and the service may run it all the same
		a.Acknowledged = false
		s.options.Recorder.Left(a, address, c.deadline.Add(overrun))
		return
	}
	s.options.Recorder.Broken(ctx, a, address)
}

// overrun is the time by which a service may exceed the deadline of a request.
const overrun = time.Second

// runOn returns the context of an attempt. One of a request that may have crashed endpoints does not end when its caller leaves, since whether it begins
// shows whether it has.
func (s *Server) runOn(ctx context.Context, c *plainCall) (attempt context.Context, cancel context.CancelFunc) {
	deadline, limited := ctx.Deadline()
	if !limited || !s.options.Recorder.Suspected(c.route.service, c.signatures) {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(context.WithoutCancel(ctx), deadline)
}
