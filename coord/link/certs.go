package link

import (
	"crypto/tls"

	"github.com/balsamford/balsamford/coord/certs"
	"github.com/balsamford/balsamford/coord/timer"
)

// protocol is the ALPN name of the link protocol.
const protocol = "balsamford/1"

// Certs is mutual TLS with certificates from files: both sides present a
// certificate that the authority signed. It may be used concurrently.
type Certs struct{ loader *certs.Loader }

// NewCerts returns Certs that use the certificates loaded by l.
func NewCerts(l *certs.Loader) *Certs { return &Certs{loader: l} }

// LoadCerts reads the PEM files of a certificate, its key and the authority's
// certificate. They are read again only by Reload. The error is a
// *certs.InvalidError.
func LoadCerts(cert, key, authority string) (*Certs, error) {
	l, err := certs.New("link", certs.Files{Cert: cert, Key: key, Authority: authority}, timer.New())
	if err != nil {
		return nil, err
	}
	return NewCerts(l), nil
}

// Reload reads the files again. Connections made from then on use the new
// certificates. If the files are invalid, Reload returns a *certs.InvalidError
// and the old certificates stay in use.
func (c *Certs) Reload() error { return c.loader.Reload() }

// Server implements TLS.
func (c *Certs) Server() *tls.Config { return c.loader.Server(protocol) }

// Client implements TLS.
func (c *Certs) Client() *tls.Config { return c.loader.Client(protocol) }
