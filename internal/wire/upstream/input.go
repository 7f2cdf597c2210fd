package upstream

import (
	"net"

	"github.com/zeebo/errs"
)

// limitedInput reads from a connection. While heads are read, it fails after a number of bytes or of lines of one head.
type limitedInput struct {
	net.Conn
	maxLines int

	failed    bool // a read has failed
	limited   bool
	left      int  // bytes
	inHead    bool // the end of the head has not been read
	lines     int  // of the head
	lineBegun bool // the last byte belongs to a line that is not empty so far
}

// Read implements io.Reader.
func (l *limitedInput) Read(p []byte) (n int, err error) {
	if !l.limited {
		n, err = l.read(p)
		l.scan(p[max(n-lineEnd, 0):n]) // enough to know whether the next byte begins a line
		return n, err
	}
	if l.left <= 0 {
		return 0, errs.Combine(ErrMalformed, errs.New("head of the answer is too large"))
	}
	n, err = l.read(p[:min(len(p), l.left)])
	l.left -= n
	l.scan(p[:n])
	if l.lines > l.maxLines {
		return 0, errs.Combine(ErrMalformed, errs.New("head of the answer has more than %d lines", l.maxLines))
	}
	return n, err
}

func (l *limitedInput) read(p []byte) (n int, err error) {
	n, err = l.Conn.Read(p)
	l.failed = l.failed || err != nil
	return n, err
}

// lineEnd is the number of bytes of the longest end of a line.
const lineEnd = len("\r\n")

// scan counts the lines up to the end of the head. What follows in the same read may be a body, whose lines don't count.
func (l *limitedInput) scan(content []byte) {
	for _, b := range content {
		switch {
		case b == '\n':
			if !l.lineBegun {
				l.inHead = false
			}
			if l.inHead {
				l.lines++
			}
			l.lineBegun = false
		case b != '\r':
			l.lineBegun = true
		}
	}
}

// limit sets the number of bytes that may be read until unlimit is called.
func (l *limitedInput) limit(n int) { l.limited, l.left = true, n }

func (l *limitedInput) unlimit() { l.limited = false }

// beginHead starts to count the lines of a head. Those that were read together with what is before the head do not count.
func (l *limitedInput) beginHead() { l.inHead, l.lines = true, 0 }
