package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"mime"
	"net/http"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/base/chain"

	"lycheevale/internal/base/event"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/base/yamldoc"
)

type operatorKey struct{}

// operatorOf returns the operator that identify stored in the context.
func operatorOf(ctx context.Context) Identity {
	id, _ := ctx.Value(operatorKey{}).(Identity)
	return id
}

func remoteOf(r *http.Request) netip.Addr {
	remote, _ := netip.ParseAddrPort(r.RemoteAddr)
	return remote.Addr()
}

func (s *Server) recoverPanic(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			p := recover()
			if p == nil {
				return
			}
			if p == http.ErrAbortHandler {
				panic(p)
			}
			event.Log(r.Context(), s.options.Logger, event.OperatorPanicked,
				slog.Any("Panic", p), slog.String("Stack", string(debug.Stack())))
			s.refuse(w, refusal.New(refusal.OutcomeUnknown, "internal error; the instance's log has the details"))
		}()
		next.ServeHTTP(w, r)
	})
}

// setHeaders prevents caching of responses, which may contain a key.
func (s *Server) setHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Cache-Control", "no-store")
		w.Header().Set("X-Content-Type-Options", "nosniff")
		next.ServeHTTP(w, r)
	})
}

func (s *Server) identify(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.options.Credentials.reloadIfChanged(r.Context(), s.options.Logger)
		id, ok := s.options.Credentials.Identify(r.Header.Get("Authorization"))
		if !ok {
			event.Log(r.Context(), s.options.Logger, event.OperatorRefused,
				slog.String("Remote", remoteOf(r).String()), slog.String("Path", r.URL.Path))
			w.Header().Set("WWW-Authenticate", "Bearer")
			e := refusal.New(refusal.NotPermitted, "a valid operator's token is required")
			e.Status = http.StatusUnauthorized
			s.refuse(w, e)
			return
		}
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), operatorKey{}, id)))
	})
}

func (s *Server) mayChange(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := operatorOf(r.Context()); id.Role != RoleOperator {
			s.refuse(w, refusal.New(refusal.NotPermitted, "operator %s may read only", id.Name))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// bounded refuses requests beyond the capacity of the channel instead of queueing them.
func (s *Server) bounded(places chan struct{}) func(http.Handler) http.Handler {
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case places <- struct{}{}:
			default:
				s.refuse(w, refusal.New(refusal.Overloaded, "%d requests of operators are running", cap(places)).
					WithRetryAt(s.options.Now().Add(time.Second)))
				return
			}
			defer func() { <-places }()
			next.ServeHTTP(w, r)
		})
	}
}

// handle adapts a function that returns the response body to an HTTP handler.
func (s *Server) handle(f func(r *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		control := http.NewResponseController(w)
		_ = control.SetReadDeadline(time.Now().Add(s.options.BodyRead))
		r.Body = http.MaxBytesReader(w, r.Body, s.options.BodyBytes)
		body, err := f(r)
		_ = control.SetWriteDeadline(time.Now().Add(s.options.Write))
		if err != nil {
			s.refuse(w, err)
			return
		}
		write(w, http.StatusOK, body)
	}
}

func (s *Server) refuse(w http.ResponseWriter, err error) {
	e := refusal.From(err)
	answer := ErrorAnswer{Error: ErrorDetail{Code: e.Code, Ran: e.Ran, Message: e.Message}}
	if !e.RetryAt.IsZero() {
		answer.Error.RetryAt = &e.RetryAt
		wait := max(e.RetryAt.Sub(s.options.Now()), 0)
		w.Header().Set("Retry-After", fmt.Sprintf("%.0f", (wait+time.Second-1).Truncate(time.Second).Seconds()))
	}
	var invalid *invalidError
	if chain.As(err, &invalid) {
		answer.Error.Faults = invalid.faults
	}
	var decided *decidedError
	answer.Error.Decided = chain.As(err, &decided)
	var conflict *conflictError
	if chain.As(err, &conflict) {
		answer.Revision = conflict.revision
	}
	write(w, e.Status, answer)
}

func write(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetEscapeHTML(false)
	_ = encoder.Encode(body) // fails only if the client has disconnected
}

// decode reads exactly one JSON value and rejects unknown fields: otherwise a misspelt
// ExpectedRevision would be ignored and the change applied to any revision.
func decode(r *http.Request, into any) error {
	kind, _, _ := mime.ParseMediaType(r.Header.Get("Content-Type"))
	if kind != "application/json" {
		return refusal.New(refusal.UnsupportedType, "content type is %q, expected application/json", kind)
	}
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	if err == nil && decoder.Decode(&struct{}{}) != io.EOF {
		err = errs.New("unexpected data after the JSON value")
	}
	var tooLarge *http.MaxBytesError
	if chain.As(err, &tooLarge) {
		return refusal.New(refusal.TooLarge, "body is larger than %d bytes", tooLarge.Limit)
	}
	if err != nil {
		return refusal.New(refusal.BadRequest, "body is not valid: %v", err)
	}
	return nil
}

func (s *Server) unknownPath(r *http.Request) (any, error) {
	return nil, refusal.New(refusal.NotFound, "there is no %s %s", r.Method, r.URL.Path)
}

// kindOf returns the collection of the kind named in the path.
func kindOf(r *http.Request) (Collection, error) {
	name := r.PathValue("kind")
	c, ok := CollectionOf(name)
	if !ok {
		return c, refusal.New(refusal.NotFound, "there is no collection %q (%s)", name, yamldoc.Hint(name, CollectionNames()))
	}
	return c, nil
}
