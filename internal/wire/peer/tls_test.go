package peer_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"log/slog"
	"math/big"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"lycheevale/internal/base/measure"

	"lycheevale/internal/wire/peer"
)

// authority signs certificates of test instances.
type authority struct {
	t    testing.TB
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(t testing.TB) *authority {
	a := &authority{t: t}
	a.key, _ = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(time.Hour)}
	der, err := x509.CreateCertificate(rand.Reader, template, template, a.key.Public(), a.key)
	quicktest.Assert(t, err, quicktest.IsNil)
	a.cert, _ = x509.ParseCertificate(der)
	return a
}

// write signs a certificate for a name and writes the files of an instance to dir.
func (a *authority) write(dir, name string) (certificate, key, ca string) {
	private, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{SerialNumber: big.NewInt(time.Now().UnixNano()), DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, private.Public(), a.key)
	quicktest.Assert(a.t, err, quicktest.IsNil)
	pkcs8, _ := x509.MarshalPKCS8PrivateKey(private)
	certificate, key, ca = filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "ca.pem")
	for file, block := range map[string]*pem.Block{
		certificate: {Type: "CERTIFICATE", Bytes: der},
		key:         {Type: "PRIVATE KEY", Bytes: pkcs8},
		ca:          {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		quicktest.Assert(a.t, os.WriteFile(file, pem.EncodeToMemory(block), 0o600), quicktest.IsNil)
	}
	return certificate, key, ca
}

func (a *authority) keys(dir, name string) *peer.Keys {
	k, err := peer.LoadKeys(a.write(dir, name))
	quicktest.Assert(a.t, err, quicktest.IsNil)
	return k
}

// serveTCP runs a node on a loopback port until the test ends.
func serveTCP(t testing.TB, name string, keys *peer.Keys, at *sync.Map) *peer.Node {
	mux := peer.NewMux()
	mux.Handle("Echo", peer.Typed(echo))
	n := peer.New(peer.WithName(name), peer.WithKeys(keys), peer.WithMux(mux), peer.WithLogger(slog.New(slog.DiscardHandler)),
		peer.WithResolve(func(name string) (netip.AddrPort, bool) {
			a, ok := at.Load(name)
			if !ok {
				return netip.AddrPort{}, false
			}
			return a.(netip.AddrPort), true
		}))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() { cancel(); quicktest.Check(t, <-done, quicktest.IsNil) })
	at.Store(name, n.Address())
	return n
}

// Guards against accepting instances that claim another name or have a certificate of another authority, and against ignoring
// replaced key files.
func TestMutualTLS(t *testing.T) {
	c, ca := quicktest.New(t), newAuthority(t)
	at, dir := &sync.Map{}, t.TempDir()
	bKeys := ca.keys(dir, "b")
	b := serveTCP(t, "b", bKeys, at)
	a := serveTCP(t, "a", ca.keys(t.TempDir(), "a"), at)
	c.Assert(call(a, "b", 5*time.Second), quicktest.IsNil)

	impostor := serveTCP(t, "impostor", ca.keys(t.TempDir(), "other"), at)
	c.Check(call(impostor, "b", 5*time.Second), quicktest.IsNotNil)
	at.Store("elsewhere", b.Address())
	c.Check(call(a, "elsewhere", 5*time.Second), quicktest.ErrorMatches, ".*not elsewhere.*")
	plain := serveTCP(t, "plain", nil, at)
	c.Check(call(plain, "b", 5*time.Second), quicktest.IsNotNil)

	next := newAuthority(t)
	d := serveTCP(t, "d", next.keys(t.TempDir(), "d"), at)
	c.Check(call(d, "b", 5*time.Second), quicktest.IsNotNil)
	next.write(dir, "b")
	e := serveTCP(t, "e", next.keys(t.TempDir(), "e"), at)
	c.Check(call(e, "b", 5*time.Second), quicktest.IsNil)
	c.Check(bKeys.ReloadError(), quicktest.IsNil)

	c.Assert(os.WriteFile(filepath.Join(dir, "cert.pem"), []byte("half"), 0o600), quicktest.IsNil)
	g := serveTCP(t, "g", next.keys(t.TempDir(), "g"), at)
	c.Check(call(g, "b", 5*time.Second), quicktest.IsNil)
	c.Check(bKeys.ReloadError(), quicktest.IsNotNil)
}

// Guards against links without TLS to other hosts.
func TestPlainIsLoopbackOnly(t *testing.T) {
	c := quicktest.New(t)
	outside := netip.MustParseAddrPort("192.0.2.1:7000")
	n := peer.New(peer.WithName("a"), peer.WithListen(outside), peer.WithLogger(slog.New(slog.DiscardHandler)),
		peer.WithResolve(func(string) (netip.AddrPort, bool) { return outside, true }))
	c.Check(call(n, "b", time.Second), quicktest.ErrorIs, peer.ErrInsecure)
	c.Check(n.Run(t.Context()), quicktest.ErrorIs, peer.ErrInsecure)
}

func BenchmarkCall(b *testing.B) {
	for name, secure := range map[string]bool{"plain": false, "tls": true} {
		b.Run(name, func(b *testing.B) {
			at := &sync.Map{}
			var aKeys, bKeys *peer.Keys
			if secure {
				ca := newAuthority(b)
				aKeys, bKeys = ca.keys(b.TempDir(), "a"), ca.keys(b.TempDir(), "b")
			}
			a := serveTCP(b, "a", aKeys, at)
			serveTCP(b, "b", bKeys, at)
			b.ReportAllocs()
			var got text
			calls := 0
			begin := measure.ProcessorTime(b)
			for b.Loop() {
				calls++
				if err := a.Call(b.Context(), "b", "Echo", text{"x"}, &got); err != nil {
					b.Fatal(err)
				}
			}
			// Both ends, for docs/CAPACITY.md.
			b.ReportMetric(float64((measure.ProcessorTime(b)-begin).Microseconds())/float64(calls), "cpu-µs/call")
		})
	}
}
