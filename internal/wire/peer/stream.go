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
)

// A frame is a header of four bytes and, unless it is a ping or a pong, as many bytes of JSON as the
// header states.
const (
	headerSize = 4
	pingHeader = 0
	pongHeader = 0xFFFFFFFF
)

const (
	// maxHello bounds messages of a link that has not introduced itself.
	maxHello = 4 << 10
	// writeChunk is written within one deadline, so that large messages on slow links are not cut off.
	writeChunk = 64 << 10
	// checks is the number of looks at the silence of a link in each of its limits.
	checks = 4
)

// stream carries JSON-RPC objects in frames. Writing never blocks: frames wait in a bounded queue.
// It probes the other side when nothing is read and closes a link that stays silent.
type stream struct {
	conn    net.Conn
	reader  *bufio.Reader
	options *Options
	limit   atomic.Int64 // bytes of a received message
	busy    func() bool  // whether an answer is awaited
	idle    time.Duration

	queue  chan []byte
	queued atomic.Int64 // bytes
	pongs  chan struct{}
	closed chan struct{}
	once   sync.Once
	cause  error // set before closed is closed

	heard    atomic.Int64 // nanoseconds from started to the last byte that was read
	started  time.Time
	counting func(direction, int) // size of the object just read or about to be written
	pings    func(direction)
}

func newStream(conn net.Conn, o *Options, idle time.Duration) *stream {
	s := &stream{
		conn:     conn,
		options:  o,
		idle:     idle,
		busy:     func() bool { return false },
		queue:    make(chan []byte, o.MaxQueue),
		pongs:    make(chan struct{}, 1),
		closed:   make(chan struct{}),
		started:  o.Now(),
		counting: func(direction, int) {},
		pings:    func(direction) {},
	}
	s.limit.Store(maxHello)
	s.reader = bufio.NewReader(readerFunc(s.read))
	return s
}

// readerFunc adapts a function to io.Reader.
type readerFunc func([]byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(b []byte) (int, error) {
	return f(b)
}

// read notes each byte as a sign of life, so that a large message on a slow link is not silence.
func (s *stream) read(b []byte) (int, error) {
	n, err := s.conn.Read(b)
	if n > 0 {
		s.heard.Store(int64(s.options.Now().Sub(s.started)))
	}
	return n, err
}

// ReadObject implements jsonrpc2.ObjectStream.
func (s *stream) ReadObject(v any) error {
	for {
		var header [headerSize]byte
		if _, err := io.ReadFull(s.reader, header[:]); err != nil {
			return s.fail(err)
		}
		switch size := binary.BigEndian.Uint32(header[:]); size {
		case pingHeader:
			s.pings(received)
			select {
			case s.pongs <- struct{}{}:
			default:
			}
		case pongHeader:
			s.pings(received)
		default:
			return s.fail(s.readBody(int64(size), v))
		}
	}
}

func (s *stream) readBody(size int64, v any) error {
	if size > s.limit.Load() {
		return ErrTooLarge
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(s.reader, body); err != nil {
		return err
	}
	s.counting(received, headerSize+len(body))
	return json.Unmarshal(body, v)
}

// WriteObject implements jsonrpc2.ObjectStream; errors are ErrTooLarge and ErrQueueFull, after which
// the link stays usable.
func (s *stream) WriteObject(v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
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
		s.counting(sent, len(frame))
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

// fail closes the stream because of err, which may be nil, and returns the first such error.
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

// run writes queued frames and watches for silence until the stream is closed or ctx ends.
func (s *stream) run(ctx context.Context) {
	timer := time.NewTimer(s.tick())
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
			err = s.control(pongHeader)
		case <-timer.C:
			probed, err = s.watch(probed)
			timer.Reset(s.nextCheck())
		}
		if s.fail(err) != nil {
			return
		}
	}
}

// tick is the time between two checks of a link from which nothing is heard.
func (s *stream) tick() time.Duration {
	return min(s.options.BusyPing, s.options.Silence, s.idle) / checks
}

// nextCheck is the time until the link may have been silent for long enough to be probed. A link with traffic is checked seldom,
// since an instance may have many.
func (s *stream) nextCheck() time.Duration {
	heard := s.started.Add(time.Duration(s.heard.Load()))
	return max(heard.Add(min(s.options.BusyPing, s.idle)).Sub(s.options.Now()), s.tick())
}

// watch probes a silent link and gives it up when no byte follows the probe in time. It returns the
// time of the probe that awaits a reaction.
func (s *stream) watch(probed time.Time) (time.Time, error) {
	now := s.options.Now()
	heard := s.started.Add(time.Duration(s.heard.Load()))
	if !probed.IsZero() && heard.Before(probed) {
		if now.Sub(probed) >= s.options.Silence {
			return probed, ErrSilent
		}
		return probed, nil
	}
	patience := s.idle
	if s.busy() {
		patience = min(patience, s.options.BusyPing)
	}
	if now.Sub(heard) < patience {
		return time.Time{}, nil
	}
	return now, s.control(pingHeader)
}

func (s *stream) control(header uint32) error {
	s.pings(sent)
	return s.write(binary.BigEndian.AppendUint32(nil, header))
}

func (s *stream) write(frame []byte) error {
	for len(frame) > 0 {
		if err := s.conn.SetWriteDeadline(s.options.Now().Add(s.options.Silence)); err != nil {
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
