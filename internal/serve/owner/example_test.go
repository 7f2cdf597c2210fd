package owner_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http/httptest"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"

	fakeengine "lycheevale/internal/fake/engine"
	"lycheevale/internal/place/scheduler"
	"lycheevale/internal/serve/owner"
)

func address(s *httptest.Server) netip.AddrPort {
	return s.Listener.Addr().(*net.TCPAddr).AddrPort()
}

// withOwner runs an owner with a lease on one engine.
func withOwner(f func(o *owner.Owner)) {
	e := fakeengine.New()
	server := httptest.NewServer(e)
	defer server.Close()
	o := owner.New(owner.WithLogger(slog.New(slog.DiscardHandler)))
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return o.Run(ctx) })
	o.Acquire(owner.Grant{Endpoint: e.Announcement(address(server)), Fence: 1, Deadline: time.Now().Add(time.Hour)})
	f(o)
	cancel()
	_ = group.Wait()
}

func show(stream *owner.Stream, err error) {
	if err != nil {
		fmt.Println(err)
		return
	}
	defer stream.Close()
	fmt.Println(stream.Attempt, "on", stream.Endpoint)
	for event, err := range stream.Events(nil) {
		fmt.Println(event.Seq, err)
	}
}

func request(attempt string) owner.Request {
	return owner.Request{
		Attempt: attempt, Customer: "banksia", Model: "quill", Adapter: scheduler.AdapterRef{Adapter: "cards", Version: "v1"},
		Path: "/v1/completions", PromptTokens: 5, MaxTokens: 2, Deadline: time.Now().Add(time.Minute),
		Body: []byte(`{"model":"cards@v1","prompt":"hello","max_tokens":2}`),
	}
}

// The owner loads the adapter first, because it is not resident.
func ExampleOwner_Dispatch() {
	withOwner(func(o *owner.Owner) { show(o.Dispatch(context.Background(), request("attempt-1"))) })
	// Output:
	// attempt-1 on engine-1
	// 1 <nil>
	// 2 <nil>
}

// An entry reaches the owner at another instance through its handler and gets the same stream.
func ExampleRemote_Dispatch() {
	withOwner(func(o *owner.Owner) {
		server := httptest.NewUnstartedServer(o.Handler())
		owner.Configure(server.Config)
		server.Start()
		defer server.Close()
		remote := owner.NewRemote(address(server), time.Minute, owner.NewTransport())
		show(remote.Dispatch(context.Background(), request("attempt-2")))
	})
	// Output:
	// attempt-2 on engine-1
	// 1 <nil>
	// 2 <nil>
}

// Requests for models without an endpoint are refused at once, so that the entry tries another owner.
func ExampleOwner_Dispatch_refused() {
	withOwner(func(o *owner.Owner) {
		r := request("attempt-3")
		r.Model = "koro-lm"
		_, err := o.Dispatch(context.Background(), r)
		fmt.Println(err)
	})
	// Output: Unavailable (NotRun): no endpoint for the request is available here
}
