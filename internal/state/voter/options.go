package voter

import (
	"context"
	"log/slog"
	"time"

	"github.com/google/uuid"

	"lycheevale/internal/state/consensus"
	"lycheevale/internal/state/record"
	"lycheevale/internal/wire/peer"
)

// Options are the settings of a Voter.
type Options struct {
	Group   string // name of the log
	Name    string // instance name, under which peers reach this voter
	Dir     string // data directory of this log
	Records []record.Option
	Machine StateMachine
	Replica ReplicaOptions
	Call    peer.Caller
	// Peers returns the names of the instances that should be voters, this one included.
	Peers func() []string
	// Leader returns the leader as this instance knows it, "" if it knows none; nil for the one that this voter follows.
	Leader func() string
	// FirstVoters are the names of the instances that create the log together at the first start of the deployment, each with the same first entry, so that
	// a majority of them suffices. They must be the same at all of them, and be left out at any later start. Without them, the first of Peers by name
	// creates the log once all of Peers answer that they have none.
	FirstVoters []string
	// MayBootstrap reports whether this instance may create the log when no wanted voter has one.
	MayBootstrap func() bool
	Logger       *slog.Logger
	Tick         time.Duration // interval of the core's clock
	CallTimeout  time.Duration // of one message to a peer
	MaxBatch     int           // proposals in one batch
	Now          func() time.Time
}

// Option sets one of the Options.
type Option func(*Options)

const (
	defaultTick = 20 * time.Millisecond
	// defaultCallTimeout allows for a message of 1 MiB on a slow link between regions.
	defaultCallTimeout   = 2 * time.Second
	defaultMaxBatch      = 256
	defaultSnapshotEvery = 10_000
	defaultKeepEntries   = 1_000
)

func defaults() Options {
	return Options{
		Call: func(context.Context, string, string, any, any) error { return ErrNoLeader },
		Replica: ReplicaOptions{
			SnapshotEvery: defaultSnapshotEvery, KeepEntries: defaultKeepEntries, SyncFirst: true,
			NewIdentity: uuid.NewString,
		},
		Logger: slog.Default(), Tick: defaultTick, CallTimeout: defaultCallTimeout, MaxBatch: defaultMaxBatch,
		Now: time.Now, MayBootstrap: func() bool { return true },
	}
}

// WithMayBootstrap sets the function that reports whether this instance may create the log.
func WithMayBootstrap(f func() bool) Option {
	return func(o *Options) { o.MayBootstrap = f }
}

// WithFirstVoters sets the names of the instances that create the log together at the first start of the deployment; none at a later start.
func WithFirstVoters(names []string) Option {
	return func(o *Options) { o.FirstVoters = names }
}

// WithLeader sets the function that returns the leader for proposals, for an instance that also learns of it from other sources.
func WithLeader(f func() string) Option {
	return func(o *Options) { o.Leader = f }
}

// WithNow replaces the clock.
func WithNow(f func() time.Time) Option {
	return func(o *Options) { o.Now = f }
}

// WithGroup sets the name of the log, which is also the prefix of the method for its proposals.
func WithGroup(name string) Option {
	return func(o *Options) { o.Group = name }
}

// WithName sets the name of this instance.
func WithName(name string) Option {
	return func(o *Options) { o.Name = name }
}

// WithDir sets the data directory of this log.
func WithDir(dir string) Option {
	return func(o *Options) { o.Dir = dir }
}

// WithRecords sets options of the record files.
func WithRecords(opts ...record.Option) Option {
	return func(o *Options) { o.Records = opts }
}

// WithMachine sets the state machine.
func WithMachine(m StateMachine) Option {
	return func(o *Options) { o.Machine = m }
}

// WithCaller sets the function that calls peers.
func WithCaller(c peer.Caller) Option {
	return func(o *Options) { o.Call = c }
}

// WithPeers sets the function that returns the names of all voters.
func WithPeers(f func() []string) Option {
	return func(o *Options) { o.Peers = f }
}

// WithLogger sets the logger.
func WithLogger(l *slog.Logger) Option {
	return func(o *Options) { o.Logger = l }
}

// WithSnapshotEvery sets the number of entries between two snapshots and of those kept in memory before a snapshot.
func WithSnapshotEvery(entries, keep uint64) Option {
	return func(o *Options) { o.Replica.SnapshotEvery, o.Replica.KeepEntries = entries, keep }
}

// WithConsensus sets options of the core.
func WithConsensus(opts ...consensus.Option) Option {
	return func(o *Options) { o.Replica.Consensus = opts }
}
