package link

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"time"
)

// privateValidity is the validity period of a Private certificate, long enough
// for any process: the certificate is discarded with the process.
const privateValidity = 10 * 365 * 24 * time.Hour

// Private is TLS with a self-signed certificate of each process that peers
// don't verify: traffic is encrypted, but peers are not authenticated. Use it
// only on networks that no other hosts can reach. It may be used concurrently.
type Private struct{ cert tls.Certificate }

// NewPrivate returns a Private with a new certificate. The error is a *TLSError.
func NewPrivate() (*Private, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &TLSError{Path: "private", Err: err}
	}
	now := time.Now()
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(now.UnixNano()), Subject: pkix.Name{CommonName: "balsamford"},
		NotBefore: now.Add(-privateValidity), NotAfter: now.Add(privateValidity),
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, &TLSError{Path: "private", Err: err}
	}
	return &Private{cert: tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}}, nil
}

// Server implements TLS.
func (p *Private) Server() *tls.Config {
	return &tls.Config{Certificates: []tls.Certificate{p.cert}, NextProtos: []string{protocol}, MinVersion: tls.VersionTLS13}
}

// Client implements TLS.
func (p *Private) Client() *tls.Config {
	return &tls.Config{
		NextProtos: []string{protocol}, MinVersion: tls.VersionTLS13,
		InsecureSkipVerify: true, //nolint:gosec // Peers have no common authority on such networks.
	}
}
