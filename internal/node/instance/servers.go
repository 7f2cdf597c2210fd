package instance

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"

	"github.com/zeebo/errs"

	"lycheevale/internal/base/httpserver"
	"lycheevale/internal/base/refusal"
	"lycheevale/internal/base/settings"
	"lycheevale/internal/limit/clients"
	"lycheevale/internal/serve/engine"
	"lycheevale/internal/serve/owner"
)

// maxAnnouncement bounds the body of an announcement, in bytes.
const maxAnnouncement = 4 << 10

// servers are the HTTP servers of an instance.
type servers struct {
	callers, streams, operators *http.Server
	instance                    *Instance
	limits                      *clients.Limits
}

func (i *Instance) servers(ctx context.Context) *servers {
	errorLog := slog.NewLogLogger(i.options.Logger.Handler(), slog.LevelDebug)
	base := func(net.Listener) context.Context { return ctx }
	t := i.settings.Timeouts
	create := func(h http.Handler) *http.Server {
		s := httpserver.New(h)
		s.ReadHeaderTimeout, s.ErrorLog, s.BaseContext = t.HeaderRead, errorLog, base
		return s
	}
	callers := create(i.callerHandler())
	callers.MaxHeaderBytes, callers.ReadTimeout, callers.IdleTimeout = i.settings.Limits.HeaderBytes, t.BodyRead, t.Idle
	streams := create(i.owner.Handler())
	owner.Configure(streams)
	if i.keys != nil {
		streams.TLSConfig = i.keys.Server()
	}
	operators := create(i.operatorHandler())
	operators.IdleTimeout, operators.MaxHeaderBytes = t.Idle, i.settings.Limits.HeaderBytes
	limits := clients.New(clients.WithFiles(2*i.settings.Limits.Connections), clients.WithLogger(i.options.Logger))
	return &servers{callers: callers, streams: streams, operators: operators, instance: i, limits: limits}
}

func (s *servers) runners() []func(context.Context) error {
	i := s.instance
	return []func(context.Context) error{
		func(context.Context) error {
			return serve(s.callers, s.limit(i.callerListener, s.callers, "callers", i.settings.TLS.Callers), i.settings.TLS.Callers)
		},
		func(context.Context) error { return serveStreams(s.streams, i.streamListener) },
		func(context.Context) error {
			return serve(s.operators, s.limit(i.operatorListener, s.operators, "operators", i.settings.TLS.Operators), i.settings.TLS.Operators)
		},
	}
}

// limit returns a listener that limits what clients can make the instance hold. Heads are counted only if they are not encrypted.
func (s *servers) limit(l net.Listener, server *http.Server, name string, files settings.ServerTLS) net.Listener {
	opts := []clients.ListenOption{clients.WithName(name)}
	if files.CertificateFile == "" {
		opts = append(opts, clients.WithHeads(func() int { return s.instance.settings.Limits.HeaderBytes }))
	}
	return s.limits.Limit(l, server, opts...)
}

func serve(s *http.Server, l net.Listener, files settings.ServerTLS) (err error) {
	if files.CertificateFile != "" {
		err = s.ServeTLS(l, files.CertificateFile, files.KeyFile)
	} else {
		err = s.Serve(l)
	}
	return ignoreClosed(err)
}

// serveStreams uses the certificates in TLSConfig, which reloads changed files.
func serveStreams(s *http.Server, l net.Listener) error {
	if s.TLSConfig != nil {
		return ignoreClosed(s.ServeTLS(l, "", ""))
	}
	return ignoreClosed(s.Serve(l))
}

func ignoreClosed(err error) error {
	if err == http.ErrServerClosed {
		return nil
	}
	return err
}

// shutdown waits for running requests to finish and interrupts those that still run when ctx ends.
func (s *servers) shutdown(ctx context.Context, server *http.Server) error {
	if !s.instance.options.GracefulStop {
		return server.Close()
	}
	if server == s.callers {
		s.instance.callerListener.Drain()
	}
	err := server.Shutdown(ctx)
	if err == nil {
		return nil
	}
	return errs.Combine(err, server.Close())
}

func (i *Instance) callerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", i.showReady)
	mux.HandleFunc("POST /v1/endpoints/announce", i.announce)
	mux.Handle("/", i.caller)
	return mux
}

func (i *Instance) showReady(w http.ResponseWriter, _ *http.Request) {
	if !i.ready.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// announced tells an endpoint which instance to send its next announcement to.
type announced struct {
	Owner string `json:"Owner"`
}

func (i *Instance) announce(w http.ResponseWriter, r *http.Request) {
	var a engine.Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement)).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), i.settings.Timeouts.PeerCall)
	defer cancel()
	name, err := i.members.Announce(ctx, a)
	if err != nil {
		http.Error(w, err.Error(), refusal.New(refusal.Unavailable, "").Status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(announced{Owner: name})
}

// streamTransport returns the transport for streams of the owner with the given name.
func (i *Instance) streamTransport(name string) *http.Transport {
	t := owner.NewTransport()
	t.DialContext = i.options.Dial
	if i.keys != nil {
		t.TLSClientConfig = i.keys.Client(name)
	}
	return t
}
