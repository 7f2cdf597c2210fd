// Package fleetcmd holds the commands that start the processes of a deployment: entries and control instances.
package fleetcmd

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/deployment"
	"lycheevale/internal/base/event"
	"lycheevale/internal/base/httpserver"
	"lycheevale/internal/base/logsink"
	"lycheevale/internal/base/metrics"
	"lycheevale/internal/limit/clients"
	"lycheevale/internal/tool/exitcode"
)

// Process is what both roles share: settings, logs and metrics.
type Process struct {
	Settings deployment.Settings
	Logger   *slog.Logger
	Metrics  metrics.Metrics
	Clients  *clients.Limits // of all listeners of the process
	path     string
	sink     *logsink.Sink
}

// Part is the program of a role.
type Part struct {
	Run      func(ctx context.Context) error
	SetSeeds func(seeds []netip.AddrPort)
}

// linesPerSecond of one event; about a hundred bytes each.
const linesPerSecond = 40

// Check checks the settings file at path, writes all errors to errOut and returns the exit code.
func Check(path string, out, errOut io.Writer) int {
	s, err := deployment.Load(path)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitcode.Invalid
	}
	fmt.Fprintf(out, "%s: settings of %s in %s are valid\n", path, s.Name, s.DataCentre)
	return exitcode.OK
}

// Run starts the part that build returns and runs it until SIGTERM or SIGINT. It returns the exit code.
func Run(path string, out, errOut io.Writer, build func(p Process) Part) int {
	s, err := deployment.Load(path)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return exitcode.Invalid
	}
	limitMemory(s)
	p := Process{Settings: s, Metrics: metrics.New(), path: path, sink: logsink.New(out)}
	p.Logger = slog.New(logsink.NewLimiter(slog.NewJSONHandler(p.sink, nil), linesPerSecond)).With(slog.String("Process", s.Name))
	p.Clients = clients.New(clients.WithMemory(s.MemoryMB), clients.WithFiles(s.Files), clients.WithLogger(p.Logger))
	defer func() { p.sink.Close(time.Now().Add(flushTime)) }()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	event.Log(ctx, p.Logger, event.InstanceStarted, slog.Any("Settings", s))
	if err := p.run(ctx, build(p)); err != nil {
		event.Log(ctx, p.Logger, event.InstanceFailed, slog.Any("Error", err))
		return exitcode.Failure
	}
	event.Log(ctx, p.Logger, event.InstanceStopped)
	return exitcode.OK
}

// flushTime is given to a slow reader of the logs at the end.
const flushTime = 100 * time.Millisecond

// heapShare is the part of the memory limit that the heap may fill before collections become frequent; the rest is for
// stacks, buffers of the system and the program itself.
const heapShare = 0.6

func limitMemory(s deployment.Settings) {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB<<20) * heapShare))
	}
}

func (p Process) run(ctx context.Context, part Part) error {
	group, ctx := errgroup.WithContext(ctx)
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	server := httpserver.New(p.Metrics.Handler)
	server.ReadHeaderTimeout = time.Second
	if at := p.Settings.Listen.Metrics; at.IsValid() {
		listener, err := net.Listen("tcp", at.String())
		if err != nil {
			stop()
			return err
		}
		limited := p.Clients.Limit(listener, server, clients.WithName("metrics"), clients.WithHeads(httpserver.HeadSize), clients.WithFewConns())
		group.Go(func() error {
			if err := server.Serve(limited); !errs.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	group.Go(func() error { return p.watch(work, part) })
	group.Go(func() error {
		defer stop()
		return errs.Combine(part.Run(ctx), server.Close())
	})
	return group.Wait()
}

// watchInterval is the time in which a changed settings file is noticed without a signal.
const watchInterval = time.Second

// watch reads the settings file again after SIGHUP and whenever it has changed. Only the seeds may change at run time.
func (p Process) watch(ctx context.Context, part Part) error {
	hangup := make(chan os.Signal, 1)
	signal.Notify(hangup, syscall.SIGHUP)
	defer signal.Stop(hangup)
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	current := p.Settings
	changed := modified(p.path)
	var lost int64
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return nil
		case <-hangup:
			signalled = true
		case <-ticker.C:
		}
		if n := p.sink.Lost(); n > lost {
			event.Log(ctx, p.Logger, event.LogLinesLost, slog.Int64("Lines", n-lost))
			lost = n
		}
		at := modified(p.path)
		if !signalled && at.Equal(changed) {
			continue
		}
		changed = at
		s, err := deployment.Load(p.path)
		if err != nil {
			event.Log(ctx, p.Logger, event.SettingsInvalid, slog.Any("Error", err))
			continue
		}
		event.Log(ctx, p.Logger, event.SettingsReloaded, slog.Bool("Signal", signalled), slog.Any("Seeds", s.Seeds),
			slog.Bool("Changed", !reflect.DeepEqual(s, current)))
		current = s
		part.SetSeeds(s.Seeds)
	}
}

func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{} // a missing file is reported when it is read
	}
	return info.ModTime()
}
