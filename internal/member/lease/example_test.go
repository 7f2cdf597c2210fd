package lease_test

import (
	"fmt"
	"time"

	"lycheevale/internal/member/lease"
)

// A single keeper obtains the lease after the time in which it does not answer after its start.
func Example() {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	acceptor := lease.NewAcceptor(now)
	proposer := lease.NewProposer(now, "suva-a-1", 1, 1)
	fmt.Println(proposer.Tick(now, false) == lease.Output{})

	now = proposer.NextWake()
	prepare := proposer.Tick(now, false).Prepare
	promise, _ := acceptor.Prepare(now, *prepare)
	accept := proposer.Promise(now, "suva-a-1", promise).Accept
	accepted, _ := acceptor.Accept(now, *accept)
	proposer.Accepted(now, "suva-a-1", accepted)
	fmt.Println(proposer.Holds(now), acceptor.Holder(now))
	// Output:
	// true
	// true suva-a-1
}
