package certs

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"time"
)

// material is the content of the files as loaded at one time. It is immutable.
type material struct {
	pair   tls.Certificate
	pool   *x509.CertPool    // nil without an authority
	digest [sha256.Size]byte // of all files
}

// validate checks the certificate's validity period and, if there is an
// authority, its chain. It adds faults to r.
func (m *material) validate(r *reader, f Files, now time.Time) {
	leaf := m.pair.Leaf
	if now.Before(leaf.NotBefore) || now.After(leaf.NotAfter) {
		r.fail("cert", f.Cert, &TimeError{From: leaf.NotBefore, Until: leaf.NotAfter})
		return
	}
	if m.pool == nil {
		return
	}
	chain := []*x509.Certificate{leaf}
	for _, der := range m.pair.Certificate[1:] {
		if c, err := x509.ParseCertificate(der); err == nil {
			chain = append(chain, c)
		}
	}
	if err := m.verifyChain(chain, x509.ExtKeyUsageAny, now); err != nil {
		r.fail("cert", f.Cert, err)
	}
}

// verifyChain returns an error unless the chain, leaf first, leads to the
// authority and is valid for usage at now. Names aren't checked, because peers
// are identified by their addresses.
func (m *material) verifyChain(chain []*x509.Certificate, usage x509.ExtKeyUsage, now time.Time) error {
	if len(chain) == 0 {
		return &EmptyError{}
	}
	inter := x509.NewCertPool()
	for _, c := range chain[1:] {
		inter.AddCert(c)
	}
	_, err := chain[0].Verify(x509.VerifyOptions{
		Roots: m.pool, Intermediates: inter, CurrentTime: now, KeyUsages: []x509.ExtKeyUsage{usage},
	})
	return err
}

// expires returns the time at which the certificate expires.
func (m *material) expires() time.Time { return m.pair.Leaf.NotAfter }
