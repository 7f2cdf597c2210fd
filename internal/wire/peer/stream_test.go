package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/base/virtualtime"
)

// frame returns the frame of a message.
func frame(body string) []byte {
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...)
}

const (
	helloFrame = `{"jsonrpc":"2.0","id":1,"method":"Peer.Hello","params":{"Name":"a","Process":1,"Number":1}}`
	echoFrame  = `{"jsonrpc":"2.0","id":2,"method":"Echo","params":{"Text":"x"},"meta":{"Within":5}}`
)

func echoNode() *Node {
	mux := NewMux()
	mux.Handle("Echo", func(_ context.Context, _ string, params json.RawMessage) (any, error) { return params, nil })
	return New(WithName("b"), WithMux(mux), WithMaxMessage(1<<16), WithLogger(slog.New(slog.DiscardHandler)))
}

// accepted serves the other end of a pipe.
func accepted(n *Node) (client net.Conn, done chan struct{}) {
	client, server := net.Pipe()
	done = make(chan struct{})
	n.spawn(func() {
		n.accept(server)
		close(done)
	})
	return client, done
}

// Guards against panics, hangs and unbounded memory caused by what another instance sends.
func FuzzDecode(f *testing.F) {
	f.Add(append(frame(helloFrame), frame(echoFrame)...))
	f.Add([]byte{0, 0, 0, 0, 0xFF, 0xFF, 0xFF, 0xFF, 0x7F, 0, 0, 0})
	f.Add(append(frame(helloFrame), frame(`[{"jsonrpc":"2.0"}]`)...))
	f.Add(append(frame(helloFrame), frame(`{"jsonrpc":"2.0","id":9,"result":null}`)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		virtualtime.Test(t, func(t *testing.T) {
			n := echoNode()
			client, done := accepted(n)
			go client.Write(data) // the node closes the link when nothing follows
			var got bytes.Buffer
			got.ReadFrom(client)
			<-done
			n.end()
			n.group.Wait()
			if len(n.incoming) != 0 {
				t.Fatalf("%d links are left", len(n.incoming))
			}
		})
	})
}

// Guards against an old link that is still served beside the one that replaced it, and against one
// that was overtaken.
func TestDuplicateLinks(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c, n := quicktest.New(t), echoNode()
		var ends []chan struct{}
		for _, number := range []string{`"Number":2`, `"Number":3`, `"Number":1`} {
			client, done := accepted(n)
			ends = append(ends, done)
			go client.Write(frame(string(bytes.Replace([]byte(helloFrame), []byte(`"Number":1`), []byte(number), 1))))
			go new(bytes.Buffer).ReadFrom(client)
			synctest.Wait()
		}
		<-ends[0]
		<-ends[2]
		c.Check(n.incoming["a"].hello.Load().Number, quicktest.Equals, uint64(3))
		n.end()
		<-ends[1]
		n.group.Wait()
	})
}

// Guards against calls from a link that has not introduced itself, and connections that never do.
func TestHelloComesFirst(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		n := echoNode()
		client, done := accepted(n)
		go client.Write(frame(echoFrame))
		<-done
		start := time.Now()
		_, done = accepted(n)
		<-done
		quicktest.Check(t, time.Since(start), quicktest.Equals, n.options.Handshake)
		n.end()
		n.group.Wait()
	})
}
