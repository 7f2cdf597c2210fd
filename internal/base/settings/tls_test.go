package settings_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"golang.org/x/sync/errgroup"

	"lycheevale/internal/base/settings"
)

// authority signs certificates of instances.
type authority struct {
	*qt.C
	folder string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
}

func newAuthority(c *qt.C) *authority {
	a := &authority{C: c, folder: c.TempDir()}
	a.cert, a.key = a.issue("authority", true)
	return a
}

func (a *authority) issue(name string, isCA bool) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour),
		IsCA: isCA, BasicConstraintsValid: true,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	parent, signer := a.cert, a.key
	if isCA {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	a.Assert(err, qt.IsNil)
	keyDER, err := x509.MarshalECPrivateKey(key)
	a.Assert(err, qt.IsNil)
	a.store(name+".pem", "CERTIFICATE", der)
	a.store(name+".key", "EC PRIVATE KEY", keyDER)
	cert, err := x509.ParseCertificate(der)
	a.Assert(err, qt.IsNil)
	return cert, key
}

func (a *authority) store(name, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	a.Assert(os.WriteFile(filepath.Join(a.folder, name), data, 0o600), qt.IsNil)
}

func (a *authority) peer(name string) *settings.PeerConfig {
	a.issue(name, false)
	file := func(name string) string { return filepath.Join(a.folder, name) }
	config, err := settings.PeerTLS{
		CertificateFile: file(name + ".pem"), KeyFile: file(name + ".key"), AuthorityFile: file("authority.pem"),
	}.Load()
	a.Assert(err, qt.IsNil)
	return config
}

// handshake returns the errors of the accepting and of the dialling end.
func (a *authority) handshake(server, client *tls.Config) (accepting, dialling error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	a.Assert(err, qt.IsNil)
	defer listener.Close()
	var group errgroup.Group
	group.Go(func() error {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		defer conn.Close()
		accepting = tls.Server(conn, server).Handshake()
		return nil
	})
	conn, err := net.Dial("tcp", listener.Addr().String())
	a.Assert(err, qt.IsNil)
	dialling = tls.Client(conn, client).Handshake()
	if dialling != nil {
		_ = conn.Close()
	}
	a.Assert(group.Wait(), qt.IsNil)
	_ = conn.Close()
	return accepting, dialling
}

// Guards against links to processes that are not the named instance of this deployment.
func TestPeerTLS(t *testing.T) {
	c := qt.New(t)
	own, foreign := newAuthority(c), newAuthority(c)
	a, b := own.peer("a"), own.peer("b")
	accepting, _ := own.handshake(b.Server(), a.Client("b"))
	c.Assert(accepting, qt.IsNil)
	_, dialling := own.handshake(b.Server(), a.Client("c"))
	c.Assert(dialling, qt.ErrorMatches, ".*certificate is valid for b, not c.*")
	accepting, _ = own.handshake(b.Server(), foreign.peer("a").Client("b"))
	c.Assert(accepting, qt.IsNotNil)
	accepting, _ = own.handshake(b.Server(), &tls.Config{InsecureSkipVerify: true})
	c.Assert(accepting, qt.ErrorMatches, ".*didn't provide a certificate.*")
	file := func(name string) string { return filepath.Join(own.folder, name) }
	_, err := settings.PeerTLS{CertificateFile: file("a.pem"), KeyFile: file("a.key"), AuthorityFile: file("a.key")}.Load()
	c.Assert(err, qt.ErrorMatches, ".*holds no certificate in PEM")
	none, err := settings.PeerTLS{}.Load()
	c.Assert(none, qt.IsNil)
	c.Assert(err, qt.IsNil)
}

// Guards against a level that is not applied.
func TestLog(t *testing.T) {
	var out bytes.Buffer
	logger := settings.Log{Level: "Warn", Format: "Text"}.New(&out)
	logger.Info("low")
	logger.Warn("high")
	qt.Assert(t, out.String(), qt.Matches, `time=\S+ level=WARN msg=high\n`)
}
