package link

import (
	"crypto/tls"

	"github.com/balsamford/balsamford/coord/certs"
	"github.com/balsamford/balsamford/coord/timer"
)

// protocol is the ALPN name of the link protocol.
const protocol = "balsamford/1"

// Certs is mutual TLS from files: both sides show a certificate that the
// authority signed. It may be used concurrently.
type Certs struct{ loader *certs.Loader }

// NewCerts returns Certs that use what l has loaded.
func NewCerts(l *certs.Loader) *Certs { return &Certs{loader: l} }

// LoadCerts reads a PEM certificate, its key and the authority's certificate.
// They are read again only by Reload. The error is a *certs.InvalidError.
func LoadCerts(cert, key, authority string) (*Certs, error) {
	l, err := certs.New("link", certs.Files{Cert: cert, Key: key, Authority: authority}, timer.New())
	if err != nil {
		return nil, err
	}
	return NewCerts(l), nil
}

// Reload reads the files again; connections made from then on use them. If
// they are not in order the old ones stay in use.
func (c *Certs) Reload() error { return c.loader.Reload() }

// Server implements TLS.
func (c *Certs) Server() *tls.Config { return c.loader.Server(protocol) }

// Client implements TLS.
func (c *Certs) Client() *tls.Config { return c.loader.Client(protocol) }
