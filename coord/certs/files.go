package certs

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"os"
	"time"

	"github.com/balsamford/balsamford/coord/setup"
)

// Files are the paths of PEM files. Authority is only needed for mutual TLS;
// it may hold several certificates.
type Files struct {
	Cert      string
	Key       string
	Authority string
}

// Faults returns all that is wrong with the files at now; the keys are those
// of a settings table.
func (f Files) Faults(table string, now time.Time) []setup.Fault {
	_, errs := f.read(now)
	faults := make([]setup.Fault, 0, len(errs))
	for _, err := range errs {
		faults = append(faults, setup.Fault{Key: table + "." + err.Setting, Text: err.text()})
	}
	return faults
}

// read returns what the files hold, or all that is wrong with them.
func (f Files) read(now time.Time) (*material, []*FileError) {
	var r reader
	certPEM := r.file("cert", f.Cert)
	keyPEM := r.file("key", f.Key)
	m := &material{}
	if f.Authority != "" {
		m.pool = r.pool(f.Authority)
	}
	m.digest = sha256.Sum256(r.all)
	if certPEM == nil || keyPEM == nil {
		return m, r.errs
	}
	if !x509.NewCertPool().AppendCertsFromPEM(certPEM) {
		r.fail("cert", f.Cert, &EmptyError{})
		return m, r.errs
	}
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		r.fail("key", f.Key, &PairError{Cert: f.Cert, Err: err})
		return m, r.errs
	}
	m.pair = pair
	m.check(&r, f, now)
	return m, r.errs
}

// reader reads files and keeps what is wrong with them.
type reader struct {
	errs []*FileError
	all  []byte // content of all files
}

func (r *reader) fail(setting, path string, err error) {
	r.errs = append(r.errs, &FileError{Setting: setting, Path: path, Err: err})
}

func (r *reader) file(setting, path string) []byte {
	data, err := os.ReadFile(path)
	if err != nil {
		r.fail(setting, path, err)
		return nil
	}
	r.all = append(r.all, data...)
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
