package clients

import (
	"log/slog"
	"math"
	"syscall"
)

// Options are the settings of Limits.
type Options struct {
	Memory      int64 // of the process in bytes
	MemoryKnown bool  // by a setting
	Files       int   // file descriptors of the process
	Logger      *slog.Logger
}

// Option sets one of the Options.
type Option func(*Options)

// defaultMemory is assumed if the settings name no limit of memory, in bytes.
const defaultMemory = 256 << 20

// defaultFiles is assumed if the system does not tell the limit of descriptors.
const defaultFiles = 1024

func newOptions(opts []Option) Options {
	o := Options{Memory: defaultMemory, Files: systemFiles(), Logger: slog.Default()}
	for _, opt := range opts {
		opt(&o)
	}
	return o
}

// systemFiles returns the number of descriptors that the system allows the process.
func systemFiles() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultFiles
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// WithMemory sets the memory of the process in megabytes, if it is known.
func WithMemory(megabytes int64) Option {
	return func(o *Options) {
		if megabytes > 0 {
			o.Memory, o.MemoryKnown = megabytes<<20, true
		}
	}
}

// WithFiles sets the number of descriptors, if it is less than the system allows.
func WithFiles(n int) Option {
	return func(o *Options) {
		if n > 0 {
			o.Files = min(o.Files, n)
		}
	}
}

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option { return func(o *Options) { o.Logger = l } }

// ListenOption sets a limit of one listener.
type ListenOption func(*Listener)

// WithName sets the name of the listener in logs.
func WithName(name string) ListenOption { return func(l *Listener) { l.name = name } }

// WithHeads bounds the heads of requests, which must not be encrypted: each to the number of bytes that size returns, and all together by the memory of the
// process.
func WithHeads(size func() int) ListenOption { return func(l *Listener) { l.head = size } }

// WithFewConns is for listeners of checks and metrics.
func WithFewConns() ListenOption { return func(l *Listener) { l.max = min(l.max, fewConns) } }
