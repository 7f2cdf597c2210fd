package consensus

import "time"

// Rules are the safety and liveness rules of the protocol. All are on by default; only mutation tests disable one.
type Rules struct {
	PreVote           bool // ask for votes without raising the term first
	LeaderStickiness  bool // refuse votes while in contact with a leader
	CheckQuorum       bool // a leader without replies from a majority steps down
	UpToDateVote      bool // vote only for a candidate whose log is at least as up to date
	VoteOnce          bool // one vote per term
	LogMatching       bool // accept entries only after a matching entry
	CurrentTermCommit bool // count replicas only for entries of the leader's current term
	OneChange         bool // one membership change at a time
	CaughtUp          bool // promote a learner only after it has all committed entries
	MajorityCommit    bool // commit only entries that a majority stores
	RemovalNotice     bool // tell a voter that campaigns after its removal that it was removed
}

// Options are the settings of a Core.
type Options struct {
	ID              string
	Seed            uint64        // seed of the random election deadlines
	ElectionTimeout time.Duration // minimum; each deadline is drawn from one to one and a half times this value
	Heartbeat       time.Duration
	QuickStart      bool // campaign after a few heartbeat intervals until the first contact with a leader
	MaxEntries      int  // entries in one message
	MaxBytes        int  // data bytes in one message; exceeded by at most one entry
	Rules           Rules
}

// Option sets one of the Options.
type Option func(*Options)

const (
	// defaultElectionTimeout tolerates two consecutive lost heartbeats followed by one that is up to 200 ms late, which
	// is more than six times the longest one-way delay of 30 ms between regions.
	defaultElectionTimeout = 800 * time.Millisecond
	// defaultHeartbeat keeps an instance that leads both logs below the limit of 12 KB per second of control traffic
	// per node.
	defaultHeartbeat  = 200 * time.Millisecond
	defaultMaxEntries = 1024
	defaultMaxBytes   = 1 << 20
)

func defaults() Options {
	return Options{
		ElectionTimeout: defaultElectionTimeout, Heartbeat: defaultHeartbeat,
		MaxEntries: defaultMaxEntries, MaxBytes: defaultMaxBytes,
		Rules: Rules{
			PreVote: true, LeaderStickiness: true, CheckQuorum: true, UpToDateVote: true, VoteOnce: true,
			LogMatching: true, CurrentTermCommit: true, OneChange: true, CaughtUp: true, MajorityCommit: true,
			RemovalNotice: true,
		},
	}
}

// WithID sets the identity of this voter.
func WithID(id string) Option {
	return func(o *Options) { o.ID = id }
}

// WithSeed sets the seed of the random election deadlines; each voter needs a different one.
func WithSeed(seed uint64) Option {
	return func(o *Options) { o.Seed = seed }
}

// WithElectionTimeout sets the shortest election timeout.
func WithElectionTimeout(d time.Duration) Option {
	return func(o *Options) { o.ElectionTimeout = d }
}

// WithHeartbeat sets the interval of a leader's heartbeats.
func WithHeartbeat(d time.Duration) Option {
	return func(o *Options) { o.Heartbeat = d }
}

// WithQuickStart lets a voter campaign a few heartbeat intervals after its start, so that a restart of all voters ends
// sooner. A live leader is not disturbed: its heartbeat arrives before that, and a pre-vote does not raise the term.
func WithQuickStart() Option {
	return func(o *Options) { o.QuickStart = true }
}

// WithMaxEntries sets the maximum number of entries in one message.
func WithMaxEntries(n int) Option {
	return func(o *Options) { o.MaxEntries = n }
}

// WithMaxBytes sets the size in data bytes at which a message takes no further entry.
func WithMaxBytes(n int) Option {
	return func(o *Options) { o.MaxBytes = n }
}

// WithRules changes the protocol rules for a mutation test.
func WithRules(change func(*Rules)) Option {
	return func(o *Options) { change(&o.Rules) }
}
