package scheduler_test

import (
	"fmt"
	"time"

	"lycheevale/internal/place/scheduler"
)

// A request whose adapter is not resident is dispatched after its load.
func Example() {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := scheduler.New()
	s.SetEndpoint(now, scheduler.Endpoint{Name: "engine-1", Model: "quill", Incarnation: 1, Slots: 2, BatchSize: 4})
	adapter := scheduler.AdapterRef{Adapter: "salutations", Version: "3"}
	err := s.Submit(now, scheduler.Request{
		ID: "r1", Customer: "banksia", Model: "quill", Adapter: adapter,
		PromptTokens: 100, MaxTokens: 50, Arrived: now, Deadline: now.Add(5 * time.Second),
	})
	fmt.Println(err)
	for _, a := range s.Decide(now) {
		fmt.Println(a.Kind, a.Endpoint, a.Adapter.Adapter, a.Adapter.Version)
	}
	now = now.Add(250 * time.Millisecond)
	s.Loaded(now, scheduler.LoadResult{Endpoint: "engine-1", Adapter: adapter, Incarnation: 1})
	for _, a := range s.Decide(now) {
		fmt.Println(a.Kind, a.ID, a.Endpoint)
	}
	// Output:
	// <nil>
	// Load engine-1 salutations 3
	// Dispatch r1 engine-1
}
