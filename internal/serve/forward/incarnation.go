package forward

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/base/event"
	"lycheevale/internal/member/report"
	"lycheevale/internal/member/view"
)

// errRestarted ends an attempt to continue a stream at an endpoint that may have restarted with another software version.
var errRestarted = errs.New("the endpoint may have restarted with another software version")

// startTimeout is several round trips between regions.
const startTimeout = 400 * time.Millisecond

// incarnationChecked reports whether an endpoint that is to continue a stream still is the incarnation of the list, as far as the list does not show it.
func (h *Handler) incarnationChecked(x *exchange, c choice) bool {
	if x.software == nil {
		return true
	}
	_, listing := h.options.View.Listing(h.options.Now(), c.Endpoint)
	return listing == view.Sole || h.stillRuns(x, c.Endpoint, listing)
}

// identifyEndpoint finds out whether the first events of an attempt are of the incarnation that was listed, and so of its software version. A connection
// leads to the same process while it is open, so that it is asked once.
func (h *Handler) identifyEndpoint(x *exchange, s *attempt) error {
	listed, listing := h.options.View.Listing(h.options.Now(), s.Endpoint)
	if s.unlisted {
		s.Software = listed.Software // the leader does not state it with a place
	}
	peer := s.ID + "/" + strconv.FormatInt(s.Born, 10)
	switch {
	case s.unlisted && listing == view.Outdated:
	case listing == view.Sole, s.answer.Peer == peer, x.route.Repeatable() && h.stillRuns(x, s.Endpoint, listing):
		s.identified = true
		s.answer.SetPeer(peer)
		return nil
	}
	if x.software != nil {
		return errRestarted
	}
	return nil
}

// stillRuns asks an endpoint for its start time, and reports whether its incarnation is the listed one. All connections that have been opened to it since it
// was listed then lead to that one. For an endpoint that does not state its start time, a current list has to do.
func (h *Handler) stillRuns(x *exchange, e report.Endpoint, listing view.Listing) bool {
	born, err := int64(0), error(nil)
	if x.service.Engine != nil { // a plain service would take the question for a request
		ctx, cancel := context.WithTimeout(x.ctx, startTimeout)
		defer cancel()
		born, err = h.options.StartTime(ctx, e)
	}
	same := err == nil && (born == e.Born || (born == 0 && listing == view.Mixed))
	event.Log(x.ctx, h.options.Logger, event.IncarnationAsked, slog.String("Attempt", x.request.Attempt), slog.String("Endpoint", e.ID),
		slog.Int64("Listed", e.Born), slog.Int64("Stated", born), slog.Bool("Same", same), slog.Any("Error", err),
		slog.Int64("ViewAgeMillis", h.options.View.Age(h.options.Now()).Milliseconds()))
	return same
}
