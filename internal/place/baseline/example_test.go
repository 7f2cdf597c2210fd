package baseline_test

import (
	"fmt"
	"time"

	"lycheevale/internal/place/baseline"
	"lycheevale/internal/place/scheduler"
)

// The baseline loads on the least loaded endpoint and evicts the least recently used adapter.
func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := baseline.New(8)
	old := scheduler.AdapterRef{Adapter: "old", Version: "1"}
	s.SetEndpoint(now, scheduler.Endpoint{
		Name: "engine-1", Model: "quill", Slots: 1, BatchSize: 4, Resident: []scheduler.AdapterRef{old},
	})
	_ = s.Submit(now, scheduler.Request{
		ID: "r1", Model: "quill", Adapter: scheduler.AdapterRef{Adapter: "new", Version: "1"}, Deadline: now.Add(time.Second),
	})
	for _, a := range s.Decide(now) {
		fmt.Println(a.Kind, a.Adapter.Adapter, "evicts", a.Evict.Adapter)
	}
	// Output: Load new evicts old
}
