package admit

import (
	"encoding/base64"
	"encoding/binary"
	"math"
)

// codec encodes and decodes messages. The messages between instances are most of the control traffic of a node, so each
// is one string of variable-length numbers. One describe function serves both directions. Encoding must not change the
// message, which another goroutine may be sending at the same time.
type codec struct {
	raw     []byte // written, or still to be read
	reading bool
	failed  bool
}

var wireText = base64.RawURLEncoding

func encode(describe func(c *codec)) ([]byte, error) {
	c := codec{}
	describe(&c)
	return wireText.AppendEncode(nil, c.raw), nil
}

func decode(text []byte, describe func(c *codec)) error {
	raw, err := wireText.AppendDecode(nil, text)
	if err != nil {
		return Error.Wrap(err)
	}
	c := codec{raw: raw, reading: true}
	describe(&c)
	if c.failed || len(c.raw) > 0 {
		return Error.New("malformed message")
	}
	return nil
}

// take returns the next n bytes, or nil when fewer are left.
func (c *codec) take(n uint64) []byte {
	if c.failed || n > uint64(len(c.raw)) {
		c.failed = true
		return nil
	}
	b := c.raw[:n]
	c.raw = c.raw[n:]
	return b
}

func number[N ~uint64 | ~uint32 | ~int64](c *codec, v *N) {
	if !c.reading {
		c.raw = binary.AppendUvarint(c.raw, uint64(*v))
		return
	}
	x, n := binary.Uvarint(c.raw)
	*v = N(x)
	if n <= 0 || uint64(*v) != x {
		c.failed = true
		return
	}
	c.raw = c.raw[n:]
}

// tokens encodes whole numbers, which are most common, in one to four bytes, and others as a zero byte and a float64.
func (c *codec) tokens(v *float64) {
	whole := uint64(0)
	if !c.reading {
		if *v >= 0 && *v < 1<<53 && *v == math.Trunc(*v) {
			whole = uint64(*v) + 1
		}
		number(c, &whole)
		if whole == 0 {
			c.raw = binary.LittleEndian.AppendUint64(c.raw, math.Float64bits(*v))
		}
		return
	}
	if number(c, &whole); whole > 0 {
		*v = float64(whole - 1)
	} else if b := c.take(8); b != nil {
		*v = math.Float64frombits(binary.LittleEndian.Uint64(b))
	}
}

func (c *codec) text(v *string) {
	n := uint64(len(*v))
	number(c, &n)
	if c.reading {
		*v = string(c.take(n))
	} else {
		c.raw = append(c.raw, *v...)
	}
}

// flags encodes up to 32 booleans as one number.
func (c *codec) flags(values ...*bool) {
	bits := uint32(0)
	for i, v := range values {
		if *v {
			bits |= 1 << i
		}
	}
	number(c, &bits)
	if !c.reading {
		return
	}
	for i, v := range values {
		*v = bits>>i&1 == 1
	}
}

func list[T any](c *codec, items *[]T, describe func(c *codec, item *T)) {
	n := uint64(len(*items))
	number(c, &n)
	if c.reading {
		if n > uint64(len(c.raw)) { // each item takes at least one byte
			c.failed = true
		}
		if c.failed || n == 0 {
			*items = nil
			return
		}
		*items = make([]T, n)
	}
	for i := range *items {
		describe(c, &(*items)[i])
	}
}

// optional describes the value that a pointer refers to, if it is present.
func optional[T any](c *codec, p **T, present *bool, describe func(c *codec, item *T)) {
	if !*present {
		return
	}
	if c.reading {
		*p = new(T)
	}
	describe(c, *p)
}

func (h *Header) describe(c *codec) {
	number(c, &h.Epoch)
	number(c, &h.Incarnation)
	number(c, &h.Sequence)
}

func (r *BorrowRequest) describe(c *codec) {
	returns := r.Return != nil
	c.flags(&returns)
	r.Header.describe(c)
	list(c, &r.Items, func(c *codec, i *BorrowItem) {
		claims := len(i.Claims)+len(i.Cancelled) > 0
		c.flags(&claims)
		c.text(&i.Customer)
		if claims {
			list(c, &i.Claims, describeClaim)
			list(c, &i.Cancelled, number[uint64])
		}
		c.tokens(&i.Prefetch)
		c.tokens(&i.Room)
	})
	optional(c, &r.Return, &returns, func(c *codec, back *ReturnRequest) {
		if c.reading { // the return always belongs to the same session
			back.Epoch, back.Incarnation = r.Epoch, r.Incarnation
		}
		number(c, &back.Sequence)
		back.describeItems(c)
	})
}

func describeClaim(c *codec, claim *Claim) {
	c.flags(&claim.Again)
	number(c, &claim.ID)
	c.tokens(&claim.Tokens)
	number(c, &claim.Left)
}

func (a *Answer) describe(c *codec) {
	c.flags(&a.Reset)
	number(c, &a.Epoch)
	if a.Reset {
		number(c, &a.Known)
	}
}

func (r *BorrowReply) describe(c *codec) {
	returned := r.Return != nil
	c.flags(&returned)
	r.Answer.describe(c)
	list(c, &r.Items, func(c *codec, i *BorrowAnswer) {
		lent, waits := i.Batch != nil, len(i.Granted)+len(i.Refused) > 0 || i.Next != 0
		c.flags(&lent, &waits)
		c.text(&i.Customer)
		optional(c, &i.Batch, &lent, func(c *codec, b *Batch) {
			c.flags(&b.Room)
			number(c, &b.ID)
			c.tokens(&b.Tokens)
			number(c, &b.Life)
		})
		if !waits {
			return
		}
		list(c, &i.Granted, number[uint64])
		list(c, &i.Refused, func(c *codec, r *RefusedClaim) {
			number(c, &r.ID)
			number(c, &r.Retry)
		})
		number(c, &i.Next)
	})
	optional(c, &r.Return, &returned, func(c *codec, r *ReturnReply) { r.describe(c) })
}

func (r *ReturnRequest) describe(c *codec) {
	r.Header.describe(c)
	r.describeItems(c)
}

func (r *ReturnRequest) describeItems(c *codec) {
	list(c, &r.Items, func(c *codec, i *ReturnItem) {
		c.text(&i.Customer)
		list(c, &i.Batches, func(c *codec, b *BatchReport) {
			c.flags(&b.Keep)
			number(c, &b.ID)
			c.tokens(&b.Spent)
		})
		list(c, &i.Credits, func(c *codec, k *Credit) {
			c.flags(&k.More)
			number(c, &k.Mark)
			c.tokens(&k.Tokens)
		})
	})
}

func (r *ReturnReply) describe(c *codec) {
	r.Answer.describe(c)
	number(c, &r.Mark)
	list(c, &r.Final, (*codec).text)
}

func (r *LendRequest) describe(c *codec) {
	number(c, &r.Number)
	number(c, &r.Tokens)
	c.text(&r.Customer)
	list(c, &r.Settled, func(c *codec, s *Settlement) {
		age := r.Number - s.Number // encoded as a difference, which is small for most loans
		number(c, &age)
		number(c, &s.Used)
		if c.reading {
			s.Number = r.Number - age
		}
	})
}

func (r *LendReply) describe(c *codec) {
	life := millis(r.Life)
	number(c, &life)
	if c.reading {
		r.Life = life.duration()
	}
}

// MarshalText implements encoding.TextMarshaler.
func (r BorrowRequest) MarshalText() ([]byte, error) { return encode(r.describe) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *BorrowRequest) UnmarshalText(text []byte) error { return decode(text, r.describe) }

// MarshalText implements encoding.TextMarshaler.
func (r BorrowReply) MarshalText() ([]byte, error) { return encode(r.describe) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *BorrowReply) UnmarshalText(text []byte) error { return decode(text, r.describe) }

// MarshalText implements encoding.TextMarshaler.
func (r ReturnRequest) MarshalText() ([]byte, error) { return encode(r.describe) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *ReturnRequest) UnmarshalText(text []byte) error { return decode(text, r.describe) }

// MarshalText implements encoding.TextMarshaler.
func (r ReturnReply) MarshalText() ([]byte, error) { return encode(r.describe) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *ReturnReply) UnmarshalText(text []byte) error { return decode(text, r.describe) }

// MarshalText implements encoding.TextMarshaler.
func (r LendRequest) MarshalText() ([]byte, error) { return encode(r.describe) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *LendRequest) UnmarshalText(text []byte) error { return decode(text, r.describe) }

// MarshalText implements encoding.TextMarshaler.
func (r LendReply) MarshalText() ([]byte, error) { return encode(r.describe) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *LendReply) UnmarshalText(text []byte) error { return decode(text, r.describe) }
