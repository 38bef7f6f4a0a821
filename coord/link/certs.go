package link

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
	"sync/atomic"
)

// protocol is the ALPN name of the link protocol.
const protocol = "balsamford/1"

// Certs is mutual TLS from files: both sides show a certificate that the
// given authority signed. It may be used concurrently.
type Certs struct {
	cert, key, authority string
	current              atomic.Pointer[material]
}

type material struct {
	pair tls.Certificate
	pool *x509.CertPool
}

// LoadCerts reads a PEM certificate, its key and the authority's certificate.
// The error is a *TLSError.
func LoadCerts(cert, key, authority string) (*Certs, error) {
	c := &Certs{cert: cert, key: key, authority: authority}
	if err := c.Reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Reload reads the files again; connections made from then on use them. If
// they are not in order the old ones stay in use.
func (c *Certs) Reload() error {
	pair, err := tls.LoadX509KeyPair(c.cert, c.key)
	if err != nil {
		return &TLSError{Path: c.cert, Err: err}
	}
	pem, err := os.ReadFile(c.authority)
	if err != nil {
		return &TLSError{Path: c.authority, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return &TLSError{Path: c.authority, Err: &emptyPoolError{}}
	}
	c.current.Store(&material{pair: pair, pool: pool})
	return nil
}

// Server implements TLS.
func (c *Certs) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{protocol},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := c.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   []string{protocol},
				Certificates: []tls.Certificate{m.pair},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    m.pool,
			}, nil
		},
	}
}

// Client implements TLS. The peer is known by its address, so the chain is
// verified against the authority and the host name is not looked at.
func (c *Certs) Client() *tls.Config {
	m := c.current.Load()
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         []string{protocol},
		Certificates:       []tls.Certificate{m.pair},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain.
		VerifyConnection: func(s tls.ConnectionState) error {
			return verifyChain(s, m.pool)
		},
	}
}

func verifyChain(s tls.ConnectionState, pool *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return &TLSError{Path: "peer", Err: &emptyPoolError{}}
	}
	inter := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		inter.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         pool,
		Intermediates: inter,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return errors.Join(&TLSError{Path: "peer", Err: err})
	}
	return nil
}

// emptyPoolError reports a file or a peer without any certificate.
type emptyPoolError struct{}

// Error implements error.
func (*emptyPoolError) Error() string { return "no certificate found" }
