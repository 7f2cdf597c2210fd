package engine_test

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"

	fakeengine "lycheevale/internal/fake/engine"
	"lycheevale/internal/serve/engine"
)

// A completion runs as an attempt with an identifier, which the engine repeats.
func ExampleClient_Complete() {
	server := httptest.NewServer(fakeengine.New())
	defer server.Close()
	client := engine.New(server.Listener.Addr().(*net.TCPAddr).AddrPort())
	answer, err := client.Complete(context.Background(), engine.Attempt{
		ID: "attempt-1", Path: "/v1/completions", Model: "quill", Body: []byte(`{"model":"quill","prompt":"hello","max_tokens":3}`),
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer answer.Drain()
	for event, err := range answer.Events(nil) {
		fmt.Println(event.Seq, len(event.Data) > 0, err)
	}
	// Output:
	// 1 true <nil>
	// 2 true <nil>
	// 3 true <nil>
}

// Each line of the data becomes a line of the event.
func ExampleAppendData() {
	fmt.Printf("%q", engine.AppendData(nil, []byte("first\nsecond")))
	// Output: "data: first\ndata: second\n\n"
}
