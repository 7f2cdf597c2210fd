package owner

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against too many streams in one connection, where frames of one stream delay the others, and against opening
// a connection while others have capacity.
func TestStreamsSpreadOverConnections(t *testing.T) {
	m := NewRemote(netip.AddrPort{}, time.Second, NewTransport())
	const surplus = 5
	var first *connection
	for n := range maxConnections*streamsPerConnection + surplus {
		c := m.selectConnection()
		if n < streamsPerConnection {
			qt.Check(t, c, qt.Equals, &m.connections[0])
			first = c
		}
	}
	for n := range m.connections {
		open := m.connections[n].streams.Load()
		qt.Check(t, open >= streamsPerConnection && open <= streamsPerConnection+1, qt.IsTrue, qt.Commentf("%d: %d", n, open))
	}
	first.streams.Store(0)
	qt.Check(t, m.selectConnection(), qt.Equals, first)
}
