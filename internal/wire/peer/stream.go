package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/zeebo/errs"

	"lycheevale/internal/base/chain"
	"lycheevale/internal/limit/buffers"
)

// A frame is a header of four bytes and, unless it is a ping or a pong, as many bytes of JSON as the
// header states.
const (
	headerSize = 4
	pingHeader = 0
	pongHeader = 0xFFFFFFFF
)

const (
	// maxHelloSize is the maximum size in bytes of a message before the names have been exchanged.
	maxHelloSize = 4 << 10
	// writeChunk is the number of bytes written within one deadline, so that large messages on slow links do not time out.
	writeChunk = 64 << 10
	// shortMessage is the size in bytes up to which a message is read without counting its memory.
	shortMessage = 64 << 10
	// maxPings is the number of pings and pongs within the timeout of a probe at which a link closes; usual are two.
	maxPings = 256
	// checksPerTimeout is the number of checks of a link within each of its timeouts.
	checksPerTimeout = 4
)

// stream sends and receives JSON-RPC objects in frames. Writing never blocks: frames wait in a bounded
// queue. If nothing is read it probes the other side, and it closes the link if no byte follows.
type stream struct {
	conn    net.Conn
	reader  *bufio.Reader
	options *Options
	// received is the memory for long messages that are being received.
	received *buffers.Budget
	limit    atomic.Int64 // maximum size of a received message, in bytes
	busy     func() bool  // reports whether a call is in progress
	idle     time.Duration

	queue  chan []byte
	queued atomic.Int64 // bytes
	pongs  chan struct{}
	closed chan struct{}
	once   sync.Once
	cause  error // set before closed is closed

	pings      int       // since pingsSince
	pingsSince time.Time // used by the reader only

	lastRead     atomic.Int64 // nanoseconds from started to the last byte that was read
	started      time.Time
	countMessage func(direction, int) // size of the object just read or about to be written
	countPing    func(direction)
}

func newStream(conn net.Conn, n *Node, idle time.Duration) *stream {
	o := &n.options
	s := &stream{
		conn:         conn,
		options:      o,
		received:     n.received,
		idle:         idle,
		busy:         func() bool { return false },
		queue:        make(chan []byte, o.MaxQueue),
		pongs:        make(chan struct{}, 1),
		closed:       make(chan struct{}),
		started:      o.Now(),
		countMessage: func(direction, int) {},
		countPing:    func(direction) {},
	}
	s.limit.Store(maxHelloSize)
	s.reader = bufio.NewReader(readerFunc(s.read))
	return s
}

// readerFunc adapts a function to io.Reader.
type readerFunc func([]byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(b []byte) (int, error) {
	return f(b)
}

// read records the time of each read, so that a large message on a slow link does not count as silence.
func (s *stream) read(b []byte) (int, error) {
	n, err := s.conn.Read(b)
	if n > 0 {
		s.lastRead.Store(int64(s.options.Now().Sub(s.started)))
	}
	return n, err
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	body, err := s.readFrame()
	if err != nil {
		return err
	}
	s.countMessage(received, headerSize+len(body))
	return s.fail(json.Unmarshal(body, v))
}

// readFrame returns the next frame that is no ping or pong, without its header.
func (s *stream) readFrame() (body []byte, err error) {
	for {
		var header [headerSize]byte
		if _, err := io.ReadFull(s.reader, header[:]); err != nil {
			return nil, s.fail(err)
		}
		size := binary.BigEndian.Uint32(header[:])
		if size == pingHeader || size == pongHeader {
			if err := s.limitPings(); err != nil {
				return nil, s.fail(err)
			}
		}
		switch size {
		case pingHeader:
			s.countPing(received)
			select {
			case s.pongs <- struct{}{}:
			default:
			}
		case pongHeader:
			s.countPing(received)
		default:
			body, err := s.readBody(int64(size))
			return body, s.fail(err)
		}
	}
}

// limitPings fails if pings and pongs arrive much faster than any side sends them.
func (s *stream) limitPings() error {
	if s.pings++; s.pings < maxPings {
		return nil
	}
	now := s.options.Now()
	if now.Sub(s.pingsSince) < s.options.ProbeTimeout {
		return errs.Combine(ErrTooManyPings, errs.New("%d within %v", s.pings, now.Sub(s.pingsSince)))
	}
	s.pings, s.pingsSince = 0, now
	return nil
}

func (s *stream) readBody(size int64) (body []byte, err error) {
	if limit := s.limit.Load(); size > limit {
		return nil, errs.Combine(ErrTooLarge, errs.New("message of %d bytes, limit %d", size, limit))
	}
	if size <= shortMessage {
		body = make([]byte, size)
		_, err = io.ReadFull(s.reader, body)
		return body, err
	}
	return s.readLong(size)
}

// readLong reads a long message, within the memory that all links of the node share for these. The other side may never send what it has announced.
func (s *stream) readLong(size int64) (body []byte, err error) {
	if err := s.conn.SetReadDeadline(s.options.Now().Add(s.options.CallTimeout)); err != nil {
		return nil, err
	}
	account := s.received.Account()
	defer account.Close()
	if body, err = account.Read(nil, s.reader, size, 0); err != nil {
		return nil, errs.Combine(err, errs.New("%d of %d bytes of a message were received", len(body), size))
	}
	if int64(len(body)) < size {
		return nil, io.ErrUnexpectedEOF
	}
	return body, s.conn.SetReadDeadline(time.Time{})
}

// WriteObject implements jsonrpc2.ObjectStream. After ErrTooLarge and ErrQueueFull the link stays
// usable.
func (s *stream) WriteObject(v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return s.writeFrame(body, func(size int) { s.countMessage(sent, size) })
}

// writeFrame queues a message, and calls count with the size of its frame.
func (s *stream) writeFrame(body []byte, count func(size int)) error {
	if len(body) > s.options.MaxMessage {
		return ErrTooLarge
	}
	frame := binary.BigEndian.AppendUint32(make([]byte, 0, headerSize+len(body)), uint32(len(body)))
	frame = append(frame, body...)
	if s.queued.Add(int64(len(frame))) > int64(s.options.MaxQueueBytes) {
		s.queued.Add(-int64(len(frame)))
		return ErrQueueFull
	}
	select {
	case s.queue <- frame:
		count(len(frame))
		return nil
	default:
		s.queued.Add(-int64(len(frame)))
		return ErrQueueFull
	}
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error {
	_ = s.fail(net.ErrClosed)
	return nil
}

// fail closes the stream because of err and returns the first such error. It does nothing if err is nil.
func (s *stream) fail(err error) error {
	if err == nil {
		return nil
	}
	s.once.Do(func() {
		s.cause = err
		close(s.closed)
		_ = s.conn.Close()
	})
	return s.cause
}

// run writes queued frames and checks for silence until the stream is closed or ctx ends.
func (s *stream) run(ctx context.Context) {
	timer := time.NewTimer(s.minCheckWait())
	defer timer.Stop()
	var probed time.Time
	for {
		var err error
		select {
		case <-ctx.Done():
			err = ctx.Err()
		case <-s.closed:
			return
		case frame := <-s.queue:
			s.queued.Add(-int64(len(frame)))
			err = s.write(frame)
		case <-s.pongs:
			err = s.writeControl(pongHeader)
		case <-timer.C:
			probed, err = s.checkSilence(probed)
			timer.Reset(s.nextCheckWait())
		}
		if s.fail(err) != nil {
			return
		}
	}
}

// minCheckWait returns the time between two checks of a link on which nothing is received.
func (s *stream) minCheckWait() time.Duration {
	return min(s.options.BusyPing, s.options.ProbeTimeout, s.idle) / checksPerTimeout
}

// nextCheckWait returns the time until the link may have to be probed. A link with traffic is checked rarely, since an instance may
// have many links.
func (s *stream) nextCheckWait() time.Duration {
	lastReceived := s.started.Add(time.Duration(s.lastRead.Load()))
	return max(lastReceived.Add(min(s.options.BusyPing, s.idle)).Sub(s.options.Now()), s.minCheckWait())
}

// checkSilence probes a silent link, and returns ErrSilent if no byte follows the probe within ProbeTimeout. The returned
// time is that of the probe in progress.
func (s *stream) checkSilence(probed time.Time) (time.Time, error) {
	now := s.options.Now()
	lastReceived := s.started.Add(time.Duration(s.lastRead.Load()))
	if !probed.IsZero() && lastReceived.Before(probed) {
		if now.Sub(probed) >= s.options.ProbeTimeout {
			return probed, ErrSilent
		}
		return probed, nil
	}
	probeAfter := s.idle
	if s.busy() {
		probeAfter = min(probeAfter, s.options.BusyPing)
	}
	if now.Sub(lastReceived) < probeAfter {
		return time.Time{}, nil
	}
	return now, s.writeControl(pingHeader)
}

func (s *stream) writeControl(header uint32) error {
	s.countPing(sent)
	return s.write(binary.BigEndian.AppendUint32(nil, header))
}

func (s *stream) write(frame []byte) error {
	for len(frame) > 0 {
		if err := s.conn.SetWriteDeadline(s.options.Now().Add(s.options.ProbeTimeout)); err != nil {
			return err
		}
		n, err := s.conn.Write(frame[:min(len(frame), writeChunk)])
		if errs.Is(err, context.DeadlineExceeded) || isTimeout(err) {
			return ErrSilent
		}
		if err != nil {
			return err
		}
		frame = frame[n:]
	}
	return nil
}

func isTimeout(err error) bool {
	var timeout net.Error
	return chain.As(err, &timeout) && timeout.Timeout()
}
