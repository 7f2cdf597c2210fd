package directory_test

import (
	"fmt"
	"net/netip"
	"time"

	"lycheevale/internal/member/directory"
)

// A leaving endpoint gets no new work after the grace period.
func Example() {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	d := directory.New(directory.WithGrace(2 * time.Second))
	a := directory.Announcement{Name: "quill-1", Address: netip.MustParseAddrPort("10.0.0.7:8000"), Incarnation: 1, Kind: directory.Engine, Leaving: true}
	changed, err := d.Announce(now, a)
	fmt.Println(changed, err)
	e, _ := d.Endpoint("quill-1")
	fmt.Println(e.State, e.AcceptsWork(now.Add(time.Second)), e.AcceptsWork(now.Add(2*time.Second)))
	// Output:
	// true <nil>
	// Draining true false
}
