package owner

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against many streams in one connection, whose frames wait for each other, and against connections that are
// opened although others have room.
func TestStreamsSpreadOverConnections(t *testing.T) {
	m := NewRemote(netip.AddrPort{}, time.Second, NewTransport())
	const surplus = 5
	var first *connection
	for n := range maxConnections*streamsConnection + surplus {
		c := m.take()
		if n < streamsConnection {
			qt.Check(t, c, qt.Equals, &m.connections[0])
			first = c
		}
	}
	for n := range m.connections {
		open := m.connections[n].streams.Load()
		qt.Check(t, open >= streamsConnection && open <= streamsConnection+1, qt.IsTrue, qt.Commentf("%d: %d", n, open))
	}
	first.streams.Store(0)
	qt.Check(t, m.take(), qt.Equals, first)
}
