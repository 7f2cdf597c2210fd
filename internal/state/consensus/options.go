package consensus

import "time"

// Rules are the protective rules; all are on by default, and only mutation tests switch one off.
type Rules struct {
	PreVote           bool // ask for votes without raising the term first
	LeaderStickiness  bool // refuse votes while a leader is heard
	CheckQuorum       bool // a leader that hears no majority steps down
	UpToDateVote      bool // vote only for a log that is at least as long
	VoteOnce          bool // one vote for each term
	LogMatching       bool // accept entries only after a matching entry
	CurrentTermCommit bool // count replicas only for entries of the own term
	OneChange         bool // one membership change at a time
	CaughtUp          bool // a learner votes only after it has all committed entries
	MajorityCommit    bool // commit only what a majority stores
}

// Options are the settings of a Core.
type Options struct {
	ID         string
	Seed       uint64        // seed of the election deadlines
	Election   time.Duration // shortest election timeout; the longest is one and a half times as long
	Heartbeat  time.Duration
	QuickStart bool // campaign after a few heartbeats until a leader has been heard for the first time
	MaxEntries int  // entries in one message
	MaxBytes   int  // data bytes in one message, exceeded by at most one entry
	Rules      Rules
}

// Option sets one of the Options.
type Option func(*Options)

const (
	// defaultElection passes over two lost heartbeats in a row, the next one being late by up to 200 ms, which is over
	// six times the longest one-way delay of 30 ms between regions.
	defaultElection = 800 * time.Millisecond
	// defaultHeartbeat keeps an instance that leads both logs below the 12 KB per second of control for a node.
	defaultHeartbeat  = 200 * time.Millisecond
	defaultMaxEntries = 1024
	defaultMaxBytes   = 1 << 20
)

func defaults() Options {
	return Options{
		Election: defaultElection, Heartbeat: defaultHeartbeat,
		MaxEntries: defaultMaxEntries, MaxBytes: defaultMaxBytes,
		Rules: Rules{
			PreVote: true, LeaderStickiness: true, CheckQuorum: true, UpToDateVote: true, VoteOnce: true,
			LogMatching: true, CurrentTermCommit: true, OneChange: true, CaughtUp: true, MajorityCommit: true,
		},
	}
}

// WithID sets the identity of this voter.
func WithID(id string) Option {
	return func(o *Options) { o.ID = id }
}

// WithSeed sets the seed of the election deadlines; voters need different seeds.
func WithSeed(seed uint64) Option {
	return func(o *Options) { o.Seed = seed }
}

// WithElection sets the shortest election timeout.
func WithElection(d time.Duration) Option {
	return func(o *Options) { o.Election = d }
}

// WithHeartbeat sets the interval of a leader's heartbeats.
func WithHeartbeat(d time.Duration) Option {
	return func(o *Options) { o.Heartbeat = d }
}

// WithQuickStart lets a voter that has just started campaign after a few heartbeats, so that a restart of all voters is over
// sooner. A leader that is alive is heard before, and the pre-vote keeps it in office.
func WithQuickStart() Option {
	return func(o *Options) { o.QuickStart = true }
}

// WithMaxEntries sets how many entries one message carries at most.
func WithMaxEntries(n int) Option {
	return func(o *Options) { o.MaxEntries = n }
}

// WithMaxBytes sets the data bytes from which on a message takes no further entry.
func WithMaxBytes(n int) Option {
	return func(o *Options) { o.MaxBytes = n }
}

// WithRules changes the protective rules for a mutation test.
func WithRules(change func(*Rules)) Option {
	return func(o *Options) { change(&o.Rules) }
}
