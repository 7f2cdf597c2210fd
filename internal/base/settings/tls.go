package settings

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
)

// Load returns the configuration of a server, or nil without files.
func (t ServerTLS) Load() (config *tls.Config, err error) {
	defer func() { err = Error.Wrap(err) }()
	if t == (ServerTLS{}) {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}, nil
}

// PeerConfig holds the configurations of both ends of links between instances.
type PeerConfig struct {
	server *tls.Config
}

// Load returns the configurations for mutual TLS between instances, or nil without files.
func (t PeerTLS) Load() (config *PeerConfig, err error) {
	defer func() { err = Error.Wrap(err) }()
	if t == (PeerTLS{}) {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile)
	if err != nil {
		return nil, err
	}
	data, err := os.ReadFile(t.AuthorityFile)
	if err != nil {
		return nil, err
	}
	authority := x509.NewCertPool()
	if !authority.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("%s holds no certificate in PEM", t.AuthorityFile)
	}
	return &PeerConfig{server: &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    authority,
		RootCAs:      authority,
	}}, nil
}

// Server returns the configuration of the accepting end.
func (p *PeerConfig) Server() *tls.Config {
	return p.server.Clone()
}

// Client returns the configuration for dialling the instance; its certificate must name it.
func (p *PeerConfig) Client(instance string) *tls.Config {
	c := p.server.Clone()
	c.ServerName = instance
	return c
}
