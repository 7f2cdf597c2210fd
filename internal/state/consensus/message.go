package consensus

import "time"

// Kind is the type of a protocol message.
type Kind string

// Kinds of messages.
const (
	PreVote         Kind = "PreVote"
	PreVoteReply    Kind = "PreVoteReply"
	Vote            Kind = "Vote"
	VoteReply       Kind = "VoteReply"
	Append          Kind = "Append" // without entries it is a heartbeat
	AppendReply     Kind = "AppendReply"
	InstallSnapshot Kind = "InstallSnapshot"
)

// Message is a message between voters; From and To are voter identities, not instance names.
type Message struct {
	Kind    Kind    `json:"Kind,omitempty"`
	From    string  `json:"From,omitempty"`
	To      string  `json:"To,omitempty"`
	Term    uint64  `json:"Term"`
	Index   uint64  `json:"Index,omitempty"`   // last entry of a candidate; entry before Entries; matched entry of a reply
	LogTerm uint64  `json:"LogTerm,omitempty"` // term of the entry at Index
	Commit  uint64  `json:"Commit,omitempty"`
	Entries []Entry `json:"Entries,omitempty"`
	Reject  bool    `json:"Reject,omitempty"`
	Hint    uint64  `json:"Hint,omitempty"` // highest index at which the sender's log may match
	// Removed states in a PreVoteReply that the configuration at Commit, which is committed, does not contain the receiver.
	Removed bool `json:"Removed,omitempty"`
	// Snapshot has no Data when the core returns it; the runtime adds the data from disk.
	Snapshot *Snapshot `json:"Snapshot,omitempty"`
	// Periodic marks a regular heartbeat, which may be delayed to share a call with those of other logs.
	Periodic bool `json:"-"`
}

// EntryKind is the type of an entry's data.
type EntryKind byte

// Kinds of entries.
const (
	EntryData   EntryKind = iota // data of the state machine
	EntryEmpty                   // first entry of a leader's term
	EntryConfig                  // JSON of a Config
)

// Entry is one entry of the log.
type Entry struct {
	Index uint64    `json:"Index"`
	Term  uint64    `json:"Term"`
	Kind  EntryKind `json:"Kind,omitempty"`
	Data  []byte    `json:"Data,omitempty"`
}

// Member is one participant of the log.
type Member struct {
	ID      string `json:"ID"`   // identity stored on the disk, never reused after the disk is lost
	Name    string `json:"Name"` // instance name to which messages are sent
	Learner bool   `json:"Learner,omitempty"`
}

// Config is the set of participants as of one entry.
type Config struct {
	Members []Member `json:"Members"`
}

// Snapshot replaces all entries up to Index.
type Snapshot struct {
	Index  uint64 `json:"Index"`
	Term   uint64 `json:"Term"`
	Config Config `json:"Config"`
	Data   []byte `json:"Data,omitempty"`
}

// State is the persistent state of a voter besides its entries.
type State struct {
	Term uint64 `json:"Term"`
	Vote string `json:"Vote,omitempty"`
}

// Output lists what the runtime must do after a call, in the order of the fields.
type Output struct {
	State     *State    // write
	Snapshot  *Snapshot // write and restore into the state machine; the entries before it are obsolete
	Entries   []Entry   // write; the first replaces any entry with its index and all after it
	Messages  []Message // send, only after the writes are synced
	Committed []Entry   // apply, only after the writes are synced
}

// Role is the current role of a voter.
type Role string

// Roles.
const (
	Follower     Role = "Follower"
	PreCandidate Role = "PreCandidate"
	Candidate    Role = "Candidate"
	Leader       Role = "Leader"
)

// Status is a point-in-time view of a core.
type Status struct {
	ID          string
	Role        Role
	Term        uint64
	Leader      string    // identity, "" if unknown
	LastContact time.Time // last message of the leader, at a follower
	Commit      uint64
	CommitTerm  uint64 // of the entry at Commit; a leader has all committed entries behind it once this is its Term
	Last        uint64
	Snapshot    uint64
	Config      Config
	Removed     bool              // another voter has stated that this one was removed; Config does not show it yet
	Match       map[string]uint64 // only at the leader: entries known to be stored by each member
}
