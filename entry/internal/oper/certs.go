package oper

import (
	"crypto/tls"
	"sync/atomic"
	"time"
)

// reloadInterval is the time between two readings of the certificate.
const reloadInterval = 10 * time.Second

// certs is a certificate that is read again while in use.
type certs struct {
	cert, key string
	current   atomic.Pointer[tls.Certificate]
}

func loadCerts(cert, key string) (*certs, error) {
	c := &certs{cert: cert, key: key}
	return c, c.reload()
}

func (c *certs) reload() error {
	pair, err := tls.LoadX509KeyPair(c.cert, c.key)
	if err != nil {
		return err
	}
	c.current.Store(&pair)
	return nil
}

func (c *certs) get(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.current.Load(), nil }
