package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/httpserver"
	"lycheevale/internal/base/refusal"
)

// watch streams changes as server-sent events; the id of an event is its revision, so that clients
// resume with Last-Event-ID.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	from, err := s.watchFrom(r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(s.watching, cancel)()
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	events := make(chan WatchEvent)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		defer cancel()
		return s.options.System.Watch(ctx, from, func(e WatchEvent) error {
			select {
			case events <- e:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	})
	group.Go(func() error { return s.writeEvents(ctx, w, events) })
	err = group.Wait()
	httpserver.Complete(w) // a watch has no last event
	if err != nil && ctx.Err() == nil || s.watching.Err() != nil {
		event.Log(r.Context(), s.options.Logger, event.WatchEnded,
			slog.String("Operator", operatorOf(r.Context()).Name), slog.Any("Error", err))
	}
}

func (s *Server) watchFrom(r *http.Request) (uint64, error) {
	text := r.Header.Get("Last-Event-ID")
	if text == "" {
		text = r.URL.Query().Get("From")
	}
	if text == "" {
		return s.options.System.Revision(), nil
	}
	from, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, refusal.New(refusal.BadRequest, "From is %q, expected a revision", text)
	}
	return from, nil
}

// writeEvents also writes a comment at each interval: clients can distinguish an unresponsive
// connection from an unchanged configuration, and the write deadline closes connections whose client
// does not read.
func (s *Server) writeEvents(ctx context.Context, w http.ResponseWriter, events <-chan WatchEvent) error {
	control := http.NewResponseController(w)
	ticker := time.NewTicker(s.options.KeepAlive)
	defer ticker.Stop()
	line := ": watching\n\n"
	for {
		_ = control.SetWriteDeadline(time.Now().Add(s.options.Write))
		if _, err := w.Write([]byte(line)); err != nil {
			return err
		}
		if err := control.Flush(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			line = ": no change\n\n"
		case e := <-events:
			data, err := json.Marshal(e)
			if err != nil {
				return err
			}
			line = fmt.Sprintf("id: %d\nevent: Change\ndata: %s\n\n", e.Revision, data)
		}
	}
}
