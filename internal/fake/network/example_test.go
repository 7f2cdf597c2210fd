package network_test

import (
	"context"
	"fmt"
	"io"
	"net/netip"

	"golang.org/x/sync/errgroup"

	"lycheevale/internal/fake/network"
)

func ExampleNetwork() {
	n := network.New()
	defer n.Close()
	server, client := netip.MustParseAddrPort("10.0.0.1:80"), netip.MustParseAddr("10.0.0.2")
	l, err := n.Listen(server)
	if err != nil {
		fmt.Println(err)
		return
	}
	var group errgroup.Group
	group.Go(func() error {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		_, err = io.WriteString(conn, "hello")
		_ = conn.Close()
		return err
	})
	conn, err := n.Dialer(client)(context.Background(), "tcp", server.String())
	if err != nil {
		fmt.Println(err)
		return
	}
	text, err := io.ReadAll(conn)
	fmt.Println(string(text), err, group.Wait())
	// Output: hello <nil> <nil>
}
