package node

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"lycheevale/internal/member/assign"
	"lycheevale/internal/member/directory"
	"lycheevale/internal/member/lease"
)

// Methods between instances of a data centre.
const (
	methodPrepare   = "Lease.Prepare"
	methodAccept    = "Lease.Accept"
	methodRelease   = "Lease.Release"
	methodHeartbeat = "Member.Heartbeat"
	methodRenew     = "Member.Renew"
	methodAnnounce  = "Member.Announce"
	methodView      = "Member.View"
)

// releaseLease ends the grants of a keeper that stops.
type releaseLease struct {
	Ballot lease.Ballot `json:"Ballot"`
}

// heartbeat tells a keeper that the instance is running and asks it for the coordinator.
type heartbeat struct {
	Incarnation uint64 `json:"Incarnation"`
}

// heartbeatReply names the coordinator; it is empty if the keeper knows of none.
type heartbeatReply struct {
	Coordinator string `json:"Coordinator,omitempty"`
}

// renew is the periodic message of an instance to the coordinator. Alive is a digest of the
// endpoints that have announced themselves to the instance; with Listed, Endpoints lists them.
type renew struct {
	assign.Renewal
	View      ViewID                   `json:"View"`
	Alive     uint64                   `json:"Alive"`
	Listed    bool                     `json:"Listed,omitempty"`
	Address   *netip.AddrPort          `json:"Address,omitempty"`
	Endpoints []directory.Announcement `json:"Endpoints,omitempty"`
}

// renewReply answers renew. Details describes the granted endpoints; Leaving names those that are leaving.
type renewReply struct {
	assign.Reply
	NotCoordinator bool                     `json:"NotCoordinator,omitempty"`
	Coordinator    string                   `json:"Coordinator,omitempty"`
	Outdated       uint64                   `json:"Outdated,omitempty"` // known incarnation, if the renewal has a lower one
	NeedAlive      bool                     `json:"NeedAlive,omitempty"`
	Details        []directory.Announcement `json:"Details,omitempty"`
	Leaving        []string                 `json:"Leaving,omitempty"`
}

// announce forwards a new or changed announcement to the coordinator.
type announce struct {
	Endpoint directory.Announcement `json:"Endpoint"`
}

// empty is an empty answer.
type empty struct{}

// viewReply holds the ID of the instance's current view.
type viewReply struct {
	View ViewID `json:"View"`
}

// digestAnnounced returns a hash of the announcements that an instance has received. The endpoints must be
// sorted by name.
func digestAnnounced(endpoints []directory.Endpoint) uint64 {
	h := xxhash.New()
	var b []byte
	for _, e := range endpoints {
		b = append(b[:0], e.Name...)
		b = binary.BigEndian.AppendUint64(b, e.Incarnation)
		b = binary.BigEndian.AppendUint64(b, e.HighestFence)
		if e.Leaving {
			b = append(b, 1)
		}
		_, _ = h.Write(append(b, 0))
	}
	return h.Sum64()
}
