package peer

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

// Method labels of counters for messages that no method of the Mux covers.
const (
	pingMethod    = "Peer.Ping"
	unknownMethod = "Unknown" // stands for all names that have no handler
)

// direction distinguishes sent from received messages.
type direction string

const (
	sent     direction = "Sent"
	received direction = "Received"
)

// meter counts messages and bytes by method, direction and reach. Bytes are those of frames, without
// the overhead of TLS and TCP.
type meter struct {
	scope    tally.Scope
	mu       sync.Mutex
	counters map[meterKey]meterPair
}

type meterKey struct {
	method    string
	direction direction
	wide      bool
}

type meterPair struct {
	messages, bytes tally.Counter
}

func newMeter(scope tally.Scope) *meter {
	return &meter{scope: scope, counters: map[meterKey]meterPair{}}
}

func (m *meter) count(method string, d direction, wide bool, bytes int) {
	p := m.pair(meterKey{method, d, wide})
	p.messages.Inc(1)
	p.bytes.Inc(int64(bytes))
}

func (m *meter) pair(k meterKey) meterPair {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.counters[k]; ok {
		return p
	}
	reach := "Local"
	if k.wide {
		reach = "WideArea"
	}
	scope := m.scope.Tagged(map[string]string{"Method": k.method, "Direction": string(k.direction), "Reach": reach})
	p := meterPair{messages: scope.Counter("PeerMessages"), bytes: scope.Counter("PeerBytes")}
	m.counters[k] = p
	return p
}
