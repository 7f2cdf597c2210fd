package peer

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"
)

// Keys holds the certificate of this instance and the authority that signs the certificates of all
// instances. Changed files are reloaded, so that keys can be replaced without a restart; new links use
// the new keys. It is safe for concurrent use.
type Keys struct {
	certificate, key, authority string

	mu        sync.Mutex
	stamp     [3]fileStamp
	pair      tls.Certificate
	pool      *x509.CertPool
	reloadErr error // of the last reload
}

// fileStamp identifies a version of a file, to detect changes.
type fileStamp struct {
	modified time.Time
	size     int64
}

// LoadKeys loads the PEM files of the certificate, its key and the authority.
func LoadKeys(certificate, key, authority string) (k *Keys, err error) {
	defer func() { err = Error.Wrap(err) }()
	k = &Keys{certificate: certificate, key: key, authority: authority}
	if k.stamp, err = k.stamps(); err != nil {
		return nil, err
	}
	if err := k.read(); err != nil {
		return nil, err
	}
	return k, nil
}

// ReloadError returns the error of the last reload, after which the previous keys stay in use.
func (k *Keys) ReloadError() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reloadErr
}

func (k *Keys) stamps() (s [3]fileStamp, err error) {
	for i, file := range []string{k.certificate, k.key, k.authority} {
		info, err := os.Stat(file)
		if err != nil {
			return s, err
		}
		s[i] = fileStamp{info.ModTime(), info.Size()}
	}
	return s, nil
}

func (k *Keys) read() error {
	pair, err := tls.LoadX509KeyPair(k.certificate, k.key)
	if err != nil {
		return err
	}
	pem, err := os.ReadFile(k.authority)
	if err != nil {
		return err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return Error.New("file %s holds no certificate", k.authority)
	}
	k.pair, k.pool = pair, pool
	return nil
}

// current returns the keys, reloaded if a file has changed. A failed reload, for example while the
// files are being replaced, is retried with the next link.
func (k *Keys) current() (tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now, err := k.stamps()
	if err == nil && now != k.stamp {
		if err = k.read(); err == nil {
			k.stamp = now
		}
	}
	k.reloadErr = err
	return k.pair, k.pool
}

// Server returns the configuration of a server for other instances, which reads the keys for each handshake.
func (k *Keys) Server() *tls.Config { return k.server() }

// Client returns the configuration of connections to the instance with the given name.
func (k *Keys) Client(name string) *tls.Config { return k.client(name) }

// server returns the configuration of accepted links, which reads the keys for each handshake.
func (k *Keys) server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool := k.current()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{pair},
				ClientCAs:              pool,
				ClientAuth:             tls.RequireAndVerifyClientCert,
				SessionTicketsDisabled: true, // a resumed session would outlive replaced keys
			}, nil
		},
	}
}

// client returns the configuration of a link to the instance with the given name.
func (k *Keys) client(name string) *tls.Config {
	pair, pool := k.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{pair},
		RootCAs:      pool,
		ServerName:   name,
	}
}
