package certs

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/balsamford/balsamford/coord/setup"
)

// Files are the paths of the PEM files of a certificate, its private key and the
// certificate authorities that sign the peers' certificates. Authority is needed
// for mutual TLS only and may contain several certificates.
type Files struct {
	Cert      string
	Key       string
	Authority string
}

// Faults returns all faults of the files, with validity periods checked at now.
// The key of a fault is the setting's path below table, like "tls.cert".
func (f Files) Faults(table string, now time.Time) []setup.Fault {
	_, errs := f.load(now)
	faults := make([]setup.Fault, 0, len(errs))
	for _, err := range errs {
		faults = append(faults, setup.Fault{Key: table + "." + err.Setting, Text: err.detail()})
	}
	return faults
}

// load reads and validates the files. If it returns errors, only the digest of
// the material is valid.
func (f Files) load(now time.Time) (*material, []*FileError) {
	var r reader
	certPEM := r.file("cert", f.Cert)
	keyPEM := r.file("key", f.Key)
	m := &material{}
	if f.Authority != "" {
		m.pool = r.pool(f.Authority)
	}
	m.digest = sha256.Sum256(r.content)
	if certPEM == nil || keyPEM == nil {
		return m, r.faults
	}
	if !x509.NewCertPool().AppendCertsFromPEM(certPEM) {
		r.fail("cert", f.Cert, &EmptyError{})
		return m, r.faults
	}
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		r.fail("key", f.Key, &PairError{Cert: f.Cert, Err: err})
		return m, r.faults
	}
	m.pair = pair
	m.validate(&r, f, now)
	return m, r.faults
}

// reader reads files and collects their faults.
type reader struct {
	faults  []*FileError
	content []byte // of all files read, concatenated
}

func (r *reader) fail(setting, path string, err error) {
	r.faults = append(r.faults, &FileError{Setting: setting, Path: path, Err: err})
}

func (r *reader) file(setting, path string) []byte {
	data, err := os.ReadFile(path)
	if err != nil {
		r.fail(setting, path, err)
		return nil
	}
	r.content = append(r.content, data...)
	return data
}

func (r *reader) pool(path string) *x509.CertPool {
	data := r.file("authority", path)
	if data == nil {
		return nil
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		r.fail("authority", path, &EmptyError{})
		return nil
	}
	return pool
}
