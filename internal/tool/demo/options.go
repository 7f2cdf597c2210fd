package demo

import (
	"io"
	"log/slog"
	"os"
)

// Options are the settings of a demo.
type Options struct {
	Out      io.Writer
	Logger   *slog.Logger
	Requests int  // completions to send
	Stay     bool // keep the deployment running until ctx ends
}

// Option sets one of the Options.
type Option func(*Options)

// WithOut sets where the demo prints.
func WithOut(w io.Writer) Option {
	return func(o *Options) { o.Out = w }
}

// WithLogger sets the logger of all instances.
func WithLogger(l *slog.Logger) Option {
	return func(o *Options) { o.Logger = l }
}

// WithRequests sets how many completions are sent.
func WithRequests(n int) Option {
	return func(o *Options) { o.Requests = n }
}

// WithStay keeps the deployment running after its requests.
func WithStay(stay bool) Option {
	return func(o *Options) { o.Stay = stay }
}

func defaults() Options {
	return Options{Out: os.Stdout, Logger: slog.New(slog.DiscardHandler), Requests: 24}
}
