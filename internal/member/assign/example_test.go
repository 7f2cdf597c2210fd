package assign_test

import (
	"fmt"
	"time"

	"lycheevale/internal/member/assign"
)

// A new table waits for the renewals of existing owners before it assigns an endpoint. The owner
// receives the assignment in the answer to its next renewal.
func Example() {
	now := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	table := assign.New(now)
	table.SetFences(40, 1000)
	table.SetEndpoint(now, assign.Endpoint{Name: "quill-1", ChecksFencing: true})
	fmt.Println(table.Decide(now))

	now = now.Add(15 * time.Second)
	owner := assign.NewHolder(1)
	for range 2 {
		r := owner.Renewal(now)
		reply, _ := table.Renew(now, "brisbane-a-1", r)
		for _, e := range owner.Reply(now, r.Sequence, reply) {
			fmt.Println(e.Kind, e.Endpoint, e.Fence)
		}
		table.Decide(now)
	}
	// Output:
	// []
	// Acquired quill-1 41
}
