package certs

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/timer"
)

const (
	// Interval is the time between two readings of the files.
	Interval = 10 * time.Second
	// soon is how long before a certificate expires it is reported.
	soon = 14 * day
)

// Loader holds a certificate and takes its replacements into use. Connections
// that stand go on under the certificate with which they began. All methods
// may be called concurrently.
type Loader struct {
	name     string
	files    Files
	clock    *timer.Service
	log      *zap.Logger
	registry metrics.Registry
	counts   *counts
	current  atomic.Pointer[material]
	problem  atomic.Pointer[InvalidError]      // of the latest reading
	logged   atomic.Pointer[[sha256.Size]byte] // content for which the problem was logged
}

// New reads the files. name stands in metrics, logs and errors. The error is a
// *InvalidError with all that is wrong.
func New(name string, f Files, clock *timer.Service, opts ...Option) (*Loader, error) {
	l := &Loader{name: name, files: f, clock: clock, log: zap.NewNop(), registry: metrics.NewRegistry()}
	for _, opt := range opts {
		opt(l)
	}
	m, errs := f.read(clock.Now())
	if len(errs) > 0 {
		return nil, &InvalidError{Name: name, Faults: errs}
	}
	l.current.Store(m)
	l.counts = newCounts(l)
	return l, nil
}

// Run reads the files again every Interval until ctx ends.
func (l *Loader) Run(ctx context.Context) error {
	for l.clock.Sleep(ctx, Interval) == nil {
		_ = l.Reload()
	}
	return nil
}

// Reload reads the files again. Connections made from then on use them; if
// they aren't in order the former ones stay in use, and the error is a
// *InvalidError.
func (l *Loader) Reload() error {
	m, errs := l.files.read(l.clock.Now())
	if len(errs) > 0 {
		return l.keep(m, &InvalidError{Name: l.name, Faults: errs})
	}
	l.problem.Store(nil)
	l.logged.Store(nil)
	l.counts.bad.Update(0)
	if m.digest == l.current.Load().digest {
		return nil
	}
	l.current.Store(m)
	l.counts.loaded.Inc(1)
	l.log.Info("certificate replaced", zap.String("certs", l.name), zap.Time("expires", m.expires()))
	return nil
}

// keep counts a reading that failed, and logs it once for each content.
func (l *Loader) keep(m *material, err *InvalidError) error {
	l.problem.Store(err)
	l.counts.failed.Inc(1)
	l.counts.bad.Update(1)
	if last := l.logged.Swap(&m.digest); last == nil || *last != m.digest {
		l.log.Warn("certificate not replaced, the former one stays in use", zap.String("certs", l.name), zap.Error(err))
	}
	return err
}

// Expires returns when the certificate in use is no longer valid.
func (l *Loader) Expires() time.Time { return l.current.Load().expires() }

// Detail returns what an operator has to know, or an empty text: files that
// aren't in order, or a certificate that expires within 14 days.
func (l *Loader) Detail() string {
	if err := l.problem.Load(); err != nil {
		return err.Error() + "; the former one stays in use"
	}
	if left := l.Expires().Sub(l.clock.Now()); left < soon {
		return "certificate of " + l.name + " expires in " + strconv.Itoa(int(left/day)) + " days"
	}
	return ""
}

// Get returns the certificate in use; it is a tls.Config's GetCertificate.
func (l *Loader) Get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &l.current.Load().pair, nil
}

// Door returns the configuration of a server whose callers show no
// certificate.
func (l *Loader) Door(protocols ...string) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: protocols, GetCertificate: l.Get}
}

// Server returns the configuration of a server whose callers have to show a
// certificate that the authority signed.
func (l *Loader) Server(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: protocols,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			m := l.current.Load()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				NextProtos:   protocols,
				Certificates: []tls.Certificate{m.pair},
				ClientAuth:   tls.RequireAnyClientCert,
				VerifyConnection: func(s tls.ConnectionState) error {
					return l.verify(s.PeerCertificates, x509.ExtKeyUsageClientAuth)
				},
			}, nil
		},
	}
}

// Client returns the configuration of a caller that shows the certificate and
// accepts servers whose certificate the authority signed.
func (l *Loader) Client(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         protocols,
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return l.Get(nil)
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			return l.verify(s.PeerCertificates, x509.ExtKeyUsageAny)
		},
	}
}

func (l *Loader) verify(chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	return l.current.Load().verify(chain, usage, l.clock.Now())
}
