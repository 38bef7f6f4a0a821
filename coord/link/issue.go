package link

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// certValidity is the validity period of issued test certificates.
const certValidity = 30 * 24 * time.Hour

// IssueFiles writes cert.pem, key.pem and authority.pem into dir: a new
// authority, and one certificate for all processes of a test or a demo. The
// certificate is valid for the server address 127.0.0.1 and for those in servers. It
// returns Certs loaded from the files. The error is a *TLSError or a
// *certs.InvalidError.
func IssueFiles(dir string, servers ...net.IP) (*Certs, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, &TLSError{Path: dir, Err: err}
	}
	now := time.Now()
	tmpl := &x509.Certificate{
		SerialNumber:          big.NewInt(now.UnixNano()),
		Subject:               pkix.Name{CommonName: "balsamford"},
		NotBefore:             now.Add(-time.Hour),
		NotAfter:              now.Add(certValidity),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		IPAddresses:           append([]net.IP{net.IPv4(127, 0, 0, 1)}, servers...),
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	if err != nil {
		return nil, &TLSError{Path: dir, Err: err}
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return nil, &TLSError{Path: dir, Err: err}
	}
	certPEM := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	files := map[string][]byte{"cert.pem": certPEM, "authority.pem": certPEM, "key.pem": keyPEM}
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
			return nil, &TLSError{Path: name, Err: err}
		}
	}
	return LoadCerts(filepath.Join(dir, "cert.pem"), filepath.Join(dir, "key.pem"), filepath.Join(dir, "authority.pem"))
}
