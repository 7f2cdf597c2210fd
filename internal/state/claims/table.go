package claims

import (
	"crypto/sha256"
	"encoding/binary"
	"math"
	"time"
)

// digest identifies a key or a fingerprint. 128 bits of SHA-256 prevent a customer from constructing a collision with
// another customer's key, and make an accidental collision among a million claims less likely than 10^-26.
type digest [16]byte

// attemptDigest identifies an attempt within one claim; 64 bits are enough for the few attempts of a claim.
type attemptDigest [8]byte

func digestOf(parts ...string) (d digest) {
	var b []byte
	for _, part := range parts {
		// The length prefix distinguishes customer "a" with identifier "bc" from customer "ab" with identifier "c".
		b = binary.AppendUvarint(b, uint64(len(part)))
		b = append(b, part...)
	}
	sum := sha256.Sum256(b)
	copy(d[:], sum[:])
	return d
}

func digestOfAttempt(attempt string) (d attemptDigest) {
	sum := sha256.Sum256([]byte(attempt))
	copy(d[:], sum[:])
	return d
}

// phase is the state of a claim.
type phase uint8

const (
	released phase = iota // its attempt certainly did not send the request
	held
	finished
)

// claim is kept at 64 bytes, because a million claims must fit into the memory of a node.
type claim struct {
	key         digest
	fingerprint digest
	response    string // encoded by pack, set when finished
	attempt     attemptDigest
	deadline    uint32 // Unix time in seconds
	phase       phase
}

// deadlineAt rounds up, so that a claim never expires early. A time before 1970, from a command without a time, becomes
// 0 and expires with the first command that has one. A time that does not fit becomes neverExpires.
func deadlineAt(t time.Time) uint32 {
	return uint32(min(max(t.Add(time.Second-1).Unix(), 0), neverExpires))
}

const neverExpires = math.MaxUint32

func (c *claim) expired(now time.Time) bool {
	return c.deadline < neverExpires && now.Unix() >= int64(c.deadline)
}

// chunkClaims is the number of claims allocated at once; growing a single slice would copy all claims and leave a quarter
// of it unused.
const chunkClaims = 1024

// table holds claims in the order of their first command. Claims are numbered consecutively, and numbers are not reused
// after the oldest claims are dropped.
type table struct {
	numbers map[digest]uint32
	chunks  [][]claim
	first   uint32 // number of the first claim of the first chunk
	dropped int    // claims dropped from the start of the first chunk
}

func newTable() table { return table{numbers: map[digest]uint32{}} }

func (t *table) len() int { return len(t.numbers) }

func (t *table) get(key digest) (c *claim, ok bool) {
	n, ok := t.numbers[key]
	if !ok {
		return nil, false
	}
	n -= t.first
	return &t.chunks[n/chunkClaims][n%chunkClaims], true
}

func (t *table) add(c claim) *claim {
	if n := len(t.chunks); n == 0 || len(t.chunks[n-1]) == chunkClaims {
		t.chunks = append(t.chunks, make([]claim, 0, chunkClaims))
	}
	last := len(t.chunks) - 1
	t.numbers[c.key] = t.first + uint32(last*chunkClaims+len(t.chunks[last]))
	t.chunks[last] = append(t.chunks[last], c)
	return &t.chunks[last][len(t.chunks[last])-1]
}

// oldest returns the claim that was added first, or nil if the table is empty.
func (t *table) oldest() *claim {
	if t.len() == 0 {
		return nil
	}
	return &t.chunks[0][t.dropped]
}

// dropOldest removes the oldest claim.
func (t *table) dropOldest() {
	c := t.oldest()
	delete(t.numbers, c.key)
	*c = claim{}
	if t.dropped++; t.dropped == chunkClaims {
		t.chunks, t.dropped = t.chunks[1:], 0
		t.first += chunkClaims
	}
}

// all returns a copy of the claims in the order in which they were added.
func (t *table) all() []claim {
	list := make([]claim, 0, t.len())
	for i, chunk := range t.chunks {
		if i == 0 {
			chunk = chunk[t.dropped:]
		}
		list = append(list, chunk...)
	}
	return list
}

const omittedFlag = 1

// pack encodes a response in one allocation: flags, status, length of the content type, content type, body.
func pack(r Response) string {
	b := make([]byte, 0, 1+binary.MaxVarintLen32+binary.MaxVarintLen32+len(r.ContentType)+len(r.Body))
	flags := byte(0)
	if r.Omitted {
		flags = omittedFlag
	}
	b = binary.AppendVarint(append(b, flags), int64(r.Status))
	b = binary.AppendUvarint(b, uint64(len(r.ContentType)))
	return string(append(append(b, r.ContentType...), r.Body...))
}

func unpack(packed string) *Response {
	b := []byte(packed)
	r := &Response{Omitted: b[0]&omittedFlag != 0}
	status, n := binary.Varint(b[1:])
	b = b[1+n:]
	length, n := binary.Uvarint(b)
	b = b[n:]
	r.Status, r.ContentType = int(status), string(b[:length])
	if body := b[length:]; len(body) > 0 {
		r.Body = body
	}
	return r
}
