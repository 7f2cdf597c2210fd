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

// frame returns the frame of a message body.
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

// acceptPipe lets n accept one end of a pipe and returns the other end.
func acceptPipe(n *Node) (client net.Conn, done chan struct{}) {
	client, server := net.Pipe()
	done = make(chan struct{})
	n.spawn(func() {
		n.accept(server)
		close(done)
	})
	return client, done
}

// Guards against panics, hangs and unbounded memory use caused by bytes from another instance.
func FuzzDecode(f *testing.F) {
	f.Add(append(frame(helloFrame), frame(echoFrame)...))
	f.Add([]byte{0, 0, 0, 0, 0xFF, 0xFF, 0xFF, 0xFF, 0x7F, 0, 0, 0})
	f.Add(append(frame(helloFrame), frame(`[{"jsonrpc":"2.0"}]`)...))
	f.Add(append(frame(helloFrame), frame(`{"jsonrpc":"2.0","id":9,"result":null}`)...))
	f.Fuzz(func(t *testing.T, data []byte) {
		virtualtime.Test(t, func(t *testing.T) {
			n := echoNode()
			client, done := acceptPipe(n)
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

// Guards against serving an old link together with its replacement, and against accepting a link that is older than the current one.
func TestDuplicateLinks(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c, n := quicktest.New(t), echoNode()
		var accepted []chan struct{}
		for _, number := range []string{`"Number":2`, `"Number":3`, `"Number":1`} {
			client, done := acceptPipe(n)
			accepted = append(accepted, done)
			go client.Write(frame(string(bytes.Replace([]byte(helloFrame), []byte(`"Number":1`), []byte(number), 1))))
			go new(bytes.Buffer).ReadFrom(client)
			synctest.Wait()
		}
		<-accepted[0]
		<-accepted[2]
		c.Check(n.incoming["a"].hello.Load().Number, quicktest.Equals, uint64(3))
		n.end()
		<-accepted[1]
		n.group.Wait()
	})
}

// Guards against serving calls before the hello, and against keeping connections on which no hello arrives.
func TestHelloComesFirst(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		n := echoNode()
		client, done := acceptPipe(n)
		go client.Write(frame(echoFrame))
		<-done
		start := time.Now()
		_, done = acceptPipe(n)
		<-done
		quicktest.Check(t, time.Since(start), quicktest.Equals, n.options.HandshakeTimeout)
		n.end()
		n.group.Wait()
	})
}
