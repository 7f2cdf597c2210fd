package admit

import (
	"encoding/base64"
	"encoding/binary"
	"math"
	"time"
)

// MethodLend is the message of an instance to the lender of a customer.
const MethodLend = "Limit.Lend"

// LendRequest asks the lender of a customer for the tokens of one request. It is the most frequent message of a node
// with many customers, and is therefore one string of variable-length numbers.
type LendRequest struct {
	Number   uint32 // chosen by the asking instance, not used by it again within hours
	Tokens   uint32 // 0 when only Settled matters
	Customer string
	Settled  []Settlement
}

// Settlement ends a loan.
type Settlement struct {
	Number uint32
	Used   uint32 // tokens
}

// LendReply grants the tokens unless Life is 0. The asking instance admits its request within Life of sending
// LendRequest, or not at all.
type LendReply struct {
	Life time.Duration
}

var lendText = base64.RawURLEncoding

// MarshalText implements encoding.TextMarshaler.
func (r LendRequest) MarshalText() ([]byte, error) {
	raw := binary.AppendUvarint(nil, uint64(r.Number))
	raw = binary.AppendUvarint(raw, uint64(r.Tokens))
	raw = binary.AppendUvarint(raw, uint64(len(r.Customer)))
	raw = append(raw, r.Customer...)
	for _, s := range r.Settled {
		raw = binary.AppendUvarint(raw, uint64(r.Number-s.Number)) // most are recent: a short difference
		raw = binary.AppendUvarint(raw, uint64(s.Used))
	}
	return lendText.AppendEncode(nil, raw), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *LendRequest) UnmarshalText(text []byte) error {
	raw, err := lendText.AppendDecode(nil, text)
	if err != nil {
		return Error.Wrap(err)
	}
	*r = LendRequest{}
	d := numbers{rest: raw}
	r.Number, r.Tokens = d.next(), d.next()
	n := int(d.next())
	if n > len(d.rest) {
		return Error.New("a name of %d bytes in %d", n, len(d.rest))
	}
	r.Customer, d.rest = string(d.rest[:n]), d.rest[n:]
	for len(d.rest) > 0 && !d.failed {
		r.Settled = append(r.Settled, Settlement{Number: r.Number - d.next(), Used: d.next()})
	}
	if d.failed {
		return Error.New("a malformed number")
	}
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (r LendReply) MarshalText() ([]byte, error) {
	if r.Life <= 0 {
		return nil, nil
	}
	return lendText.AppendEncode(nil, binary.AppendUvarint(nil, uint64(r.Life/time.Millisecond))), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *LendReply) UnmarshalText(text []byte) error {
	*r = LendReply{}
	raw, err := lendText.AppendDecode(nil, text)
	if err != nil || len(raw) == 0 {
		return Error.Wrap(err)
	}
	d := numbers{rest: raw}
	r.Life = time.Duration(d.next()) * time.Millisecond
	if d.failed {
		return Error.New("a malformed number")
	}
	return nil
}

// numbers reads numbers of up to 32 bits.
type numbers struct {
	rest   []byte
	failed bool
}

func (d *numbers) next() uint32 {
	v, n := binary.Uvarint(d.rest)
	if n <= 0 || v > math.MaxUint32 {
		d.failed, d.rest = true, nil
		return 0
	}
	d.rest = d.rest[n:]
	return uint32(v)
}
