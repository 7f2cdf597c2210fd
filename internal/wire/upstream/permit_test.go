package upstream_test

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/zeebo/errs"

	"lycheevale/internal/wire/upstream"
)

// A sender loses its permission while the connection is being opened. Guards against a request that is written nevertheless.
func TestPermitIsAskedAfterDial(t *testing.T) {
	c := quicktest.New(t)
	errLate := errs.New("too late")
	var permit error
	to, connections := endpoint(t, answer("1", "one"), answer("3", "three"))
	dial := func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		permit = errLate
		var d net.Dialer
		return d.DialContext(ctx, "tcp", to.String())
	}
	p := upstream.New(upstream.WithDial(dial))
	request := upstream.Request{Address: to, Method: "POST", Target: "/x", Host: "h", Attempt: "2", Permit: func() error { return permit }}
	_, err := p.Do(t.Context(), request)
	c.Check(err, quicktest.ErrorIs, errLate)
	c.Check(errs.Is(err, upstream.ErrNotSent), quicktest.IsTrue)

	// The endpoint gives its first answer to the next request, on a connection that is kept.
	body, err := get(p, to, "1")
	c.Assert(err, quicktest.IsNil)
	c.Check(body, quicktest.Equals, "one")
	_, err = p.Do(t.Context(), request)
	c.Check(err, quicktest.ErrorIs, errLate)
	body, err = get(p, to, "3")
	c.Assert(err, quicktest.IsNil)
	c.Check(body, quicktest.Equals, "three")
	c.Check(*connections, quicktest.Equals, 3)
}
