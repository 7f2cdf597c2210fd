package peer_test

import (
	"context"
	"fmt"
	"net/netip"

	"lycheevale/internal/wire/peer"
)

// One instance calls a method of another over a loopback connection.
func Example() {
	ctx, cancel := context.WithCancel(context.Background())
	mux := peer.NewMux()
	mux.Handle("Greet", peer.Typed(func(_ context.Context, from string, p text) (text, error) {
		return text{p.Text + ", " + from}, nil
	}))
	server := peer.New(peer.WithName("suva-a-2"), peer.WithMux(mux))
	done := make(chan error)
	go func() { done <- server.Run(ctx) }()

	client := peer.New(peer.WithName("suva-a-1"), peer.WithResolve(func(string) (netip.AddrPort, bool) { return server.Address(), true }))
	var answer text
	err := client.Call(ctx, "suva-a-2", "Greet", text{"Bula"}, &answer)
	fmt.Println(answer.Text, err)
	cancel()
	fmt.Println(<-done)
	// Output:
	// Bula, suva-a-1 <nil>
	// <nil>
}
