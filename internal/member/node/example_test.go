package node_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"

	"lycheevale/internal/member/directory"
	"lycheevale/internal/member/node"
)

// An instance accepts the announcement of an endpoint. It assigns the endpoint after it becomes the
// coordinator.
func Example() {
	n := node.New(node.WithName("suva-a-1"), node.WithDataCentre("suva-a"), node.WithLogger(slog.New(slog.DiscardHandler)))
	owner, err := n.Announce(context.Background(), directory.Announcement{
		Name:        "koro-lm-1",
		DataCentre:  "suva-a",
		Address:     netip.MustParseAddrPort("10.1.0.7:8000"),
		Incarnation: 1,
		Kind:        directory.Engine,
	})
	fmt.Printf("%q %v\n", owner, err)
	_, leads := n.IsCoordinator()
	fmt.Println(leads, len(n.Owned()))
	// Output:
	// "" <nil>
	// false 0
}
