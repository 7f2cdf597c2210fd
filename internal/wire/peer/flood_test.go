package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"log/slog"
	"net"
	"net/netip"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/base/virtualtime"
)

// largeNode accepts messages as large as those between instances on the users' platform.
func largeNode() *Node {
	n := echoNode()
	n.options.MaxMessage = 16 << 20
	return n
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// A hundred links each announce a message of the largest size, and send a part of it. Guards against more memory than an entry has, for bytes that may
// never come or that come on all links at once, and against calls that are not served meanwhile.
func TestUnfinishedMessagesFitIntoMemory(t *testing.T) {
	const entryMemory = 184 << 20
	const heapLimit = entryMemory * 6 / 10 // as fleetcmd sets it
	defer debug.SetMemoryLimit(debug.SetMemoryLimit(heapLimit))
	for _, part := range []int{1, 15 << 20} {
		t.Run(strconv.Itoa(part), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				c, n := quicktest.New(t), largeNode()
				sound, _ := acceptPipe(n)
				soundHello := strings.Replace(helloFrame, `"Name":"a"`, `"Name":"sound"`, 1)
				chunk := make([]byte, 64<<10)
				runtime.GC()
				before, highest := heap(), uint64(0)
				for i := range 100 {
					client, _ := acceptPipe(n)
					n.spawn(func() { _, _ = new(bytes.Buffer).ReadFrom(client) })
					_, err := client.Write(frame(strings.Replace(helloFrame, `"Name":"a"`, `"Name":"`+strconv.Itoa(i)+`"`, 1)))
					c.Assert(err, quicktest.IsNil)
					_, err = client.Write(binary.BigEndian.AppendUint32(nil, 16<<20))
					c.Assert(err, quicktest.IsNil)
					for left := part; left > 0 && err == nil; left -= len(chunk) {
						_, err = client.Write(chunk[:min(left, len(chunk))]) // fails once the link is closed
					}
					highest = max(highest, heap()-min(before, heap()))
				}
				n.spawn(func() { _, _ = sound.Write(append(frame(soundHello), frame(echoFrame)...)) })
				answers := make([]byte, 1<<10)
				var got string
				for !strings.Contains(got, `"Text":"x"`) {
					count, err := sound.Read(answers)
					c.Assert(err, quicktest.IsNil)
					got += string(answers[:count])
				}
				t.Logf("%d MB of heap", highest>>20)
				c.Check(highest < heapLimit, quicktest.IsTrue, quicktest.Commentf("%d bytes of heap", highest))
				n.end()
				_ = n.group.Wait()
			})
		})
	}
}

// A long message comes a byte now and then, without end. Guards against memory that it keeps for as long as the link counts as alive.
func TestSlowMessageClosesLink(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		n := largeNode()
		client, done := acceptPipe(n)
		n.spawn(func() { _, _ = new(bytes.Buffer).ReadFrom(client) })
		_, err := client.Write(append(frame(helloFrame), 1, 0, 0, 0))
		quicktest.Assert(t, err, quicktest.IsNil)
		started := time.Now()
		for err == nil && time.Since(started) < time.Hour {
			time.Sleep(time.Second)
			_, err = client.Write([]byte{'x'})
		}
		quicktest.Check(t, err, quicktest.IsNotNil)
		quicktest.Check(t, time.Since(started) <= n.options.CallTimeout+time.Second, quicktest.IsTrue, quicktest.Commentf("%v", time.Since(started)))
		_ = client.Close()
		<-done
		n.end()
		_ = n.group.Wait()
	})
}

// pingUntilClosed sends pings, of which many fit into a read, until the link is closed or a limit is reached.
func pingUntilClosed(conn net.Conn, limit int) (sent int) {
	block := make([]byte, 4<<10)
	for sent < limit {
		written, err := conn.Write(block)
		sent += written / headerSize
		if err != nil {
			return sent
		}
	}
	return sent
}

// Another instance, or what has taken its address, sends pings without end. Guards against a link that keeps a core busy and counts as alive.
func TestPingsWithoutEndCloseLink(t *testing.T) {
	const limit = 1 << 20
	t.Run("accepted", func(t *testing.T) {
		virtualtime.Test(t, func(t *testing.T) {
			n := echoNode()
			client, done := acceptPipe(n)
			n.spawn(func() { _, _ = new(bytes.Buffer).ReadFrom(client) })
			_, err := client.Write(frame(helloFrame))
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Check(t, pingUntilClosed(client, limit) < limit, quicktest.IsTrue)
			_ = client.Close()
			<-done
			n.end()
			_ = n.group.Wait()
		})
	})
	t.Run("dialled", func(t *testing.T) {
		virtualtime.Test(t, func(t *testing.T) {
			client, server := net.Pipe()
			n := New(WithName("a"), WithLogger(slog.New(slog.DiscardHandler)),
				WithResolve(func(string) (netip.AddrPort, bool) { return netip.MustParseAddrPort("127.0.0.1:1"), true }),
				WithDial(func(context.Context, netip.AddrPort) (net.Conn, error) { return client, nil }))
			pinged := make(chan int, 1)
			n.spawn(func() { _, _ = new(bytes.Buffer).ReadFrom(server) })
			n.spawn(func() {
				pinged <- pingUntilClosed(server, limit)
				_ = server.Close()
			})
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			err := n.Call(ctx, "b", "Echo", nil, nil)
			quicktest.Check(t, err, quicktest.IsNotNil)
			quicktest.Check(t, <-pinged < limit, quicktest.IsTrue)
			n.end()
			_ = n.group.Wait()
		})
	})
}

// Guards against closing a link on which pings arrive at the usual rate for a long time.
func TestUsualPingsKeepLink(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		n := echoNode()
		client, done := acceptPipe(n)
		n.spawn(func() { _, _ = new(bytes.Buffer).ReadFrom(client) })
		_, err := client.Write(frame(helloFrame))
		for range 1000 {
			quicktest.Assert(t, err, quicktest.IsNil)
			time.Sleep(n.options.BusyPing / checksPerTimeout)
			_, err = client.Write(binary.BigEndian.AppendUint32(nil, pingHeader))
		}
		_ = client.Close()
		<-done
		n.end()
		_ = n.group.Wait()
	})
}

// Guards against a link that is closed some time after a long message, because the time limit of that message still applies.
func TestLinkOutlivesLongMessage(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		c, n := quicktest.New(t), largeNode()
		client, done := acceptPipe(n)
		var got bytes.Buffer
		n.spawn(func() { _, _ = got.ReadFrom(client) })
		long := strings.Replace(echoFrame, `"Text":"x"`, `"Text":"`+strings.Repeat("x", 2*shortMessage)+`"`, 1)
		_, err := client.Write(append(frame(helloFrame), frame(long)...))
		c.Assert(err, quicktest.IsNil)
		for started := time.Now(); time.Since(started) < 2*n.options.CallTimeout; time.Sleep(time.Second) {
			_, err = client.Write(binary.BigEndian.AppendUint32(nil, pingHeader))
			c.Assert(err, quicktest.IsNil, quicktest.Commentf("after %v", time.Since(started)))
		}
		_, err = client.Write(frame(echoFrame))
		c.Assert(err, quicktest.IsNil)
		time.Sleep(time.Second)
		_ = client.Close()
		<-done
		n.end()
		_ = n.group.Wait()
		c.Check(strings.Contains(got.String(), `"Text":"x"`), quicktest.IsTrue)
	})
}
