package certs

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"time"
)

// material is what one reading of the files gave. It isn't changed.
type material struct {
	pair   tls.Certificate
	pool   *x509.CertPool // nil without an authority
	digest [sha256.Size]byte
}

// check looks at the times of the certificate and at its chain.
func (m *material) check(r *reader, f Files, now time.Time) {
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
	if err := m.verify(chain, x509.ExtKeyUsageAny, now); err != nil {
		r.fail("cert", f.Cert, err)
	}
}

// verify returns an error unless the authority signed the chain for usage. The
// first certificate is the holder's. Names aren't looked at: peers are known
// by their addresses.
func (m *material) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage, now time.Time) error {
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

// expires returns when the certificate is no longer valid.
func (m *material) expires() time.Time { return m.pair.Leaf.NotAfter }
