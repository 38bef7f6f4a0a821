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
	// Interval is the time between two reloads.
	Interval = 10 * time.Second
	// expiryWarning is the remaining validity below which Detail returns a
	// warning.
	expiryWarning = 14 * day
)

// Loader provides a certificate and replaces it when its files change. A
// replacement affects new connections only. All methods may be called
// concurrently.
type Loader struct {
	name         string
	files        Files
	clock        *timer.Service
	log          *zap.Logger
	registry     metrics.Registry
	counts       *counts
	current      atomic.Pointer[material]
	lastError    atomic.Pointer[InvalidError]      // of the latest reload; nil if it succeeded
	loggedDigest atomic.Pointer[[sha256.Size]byte] // digest of the files whose fault was last logged
}

// New loads the files. name appears in metrics, logs and errors. The error is an
// *InvalidError.
func New(name string, f Files, clock *timer.Service, opts ...Option) (*Loader, error) {
	l := &Loader{name: name, files: f, clock: clock, log: zap.NewNop(), registry: metrics.NewRegistry()}
	for _, opt := range opts {
		opt(l)
	}
	m, errs := f.load(clock.Now())
	if len(errs) > 0 {
		return nil, &InvalidError{Name: name, Faults: errs}
	}
	l.current.Store(m)
	l.counts = newCounts(l)
	return l, nil
}

// Run reloads the files every Interval until ctx ends. It always returns nil.
func (l *Loader) Run(ctx context.Context) error {
	for l.clock.Sleep(ctx, Interval) == nil {
		_ = l.Reload()
	}
	return nil
}

// Reload loads the files again, for use in new connections. If they are invalid
// the current certificate stays in use, and the error is an *InvalidError.
func (l *Loader) Reload() error {
	m, errs := l.files.load(l.clock.Now())
	if len(errs) > 0 {
		return l.reject(m, &InvalidError{Name: l.name, Faults: errs})
	}
	l.lastError.Store(nil)
	l.loggedDigest.Store(nil)
	l.counts.invalid.Update(0)
	if m.digest == l.current.Load().digest {
		return nil
	}
	l.current.Store(m)
	l.counts.loaded.Inc(1)
	l.log.Info("certificate replaced", zap.String("certs", l.name), zap.Time("expires", m.expires()))
	return nil
}

// reject records a failed reload and returns err. It logs the error once for each
// content of the files.
func (l *Loader) reject(m *material, err *InvalidError) error {
	l.lastError.Store(err)
	l.counts.failed.Inc(1)
	l.counts.invalid.Update(1)
	if last := l.loggedDigest.Swap(&m.digest); last == nil || *last != m.digest {
		l.log.Warn("certificate reload failed, keeping the current certificate", zap.String("certs", l.name), zap.Error(err))
	}
	return err
}

// Expires returns the time at which the current certificate expires.
func (l *Loader) Expires() time.Time { return l.current.Load().expires() }

// Detail returns a warning for operators if the latest reload failed or the
// current certificate expires within 14 days, else an empty string.
func (l *Loader) Detail() string {
	if err := l.lastError.Load(); err != nil {
		return err.Error() + "; the former one stays in use"
	}
	if left := l.Expires().Sub(l.clock.Now()); left < expiryWarning {
		return "certificate of " + l.name + " expires in " + strconv.Itoa(int(left/day)) + " days"
	}
	return ""
}

// Get returns the current certificate. It can be used as the GetCertificate of a
// tls.Config and never fails.
func (l *Loader) Get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	return &l.current.Load().pair, nil
}

// PublicServer returns the configuration of a TLS server that doesn't request client
// certificates. protocols are its ALPN protocols.
func (l *Loader) PublicServer(protocols ...string) *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: protocols, GetCertificate: l.Get}
}

// Server returns the configuration of a server with mutual TLS: clients must
// present a certificate signed by the authority. protocols are its ALPN
// protocols.
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
					return l.verifyPeer(s.PeerCertificates, x509.ExtKeyUsageClientAuth)
				},
			}, nil
		},
	}
}

// Client returns the configuration of a client with mutual TLS: it presents the
// current certificate and accepts servers whose certificate is signed by the
// authority, whatever their names. protocols are its ALPN protocols.
func (l *Loader) Client(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		NextProtos:         protocols,
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return l.Get(nil)
		},
		VerifyConnection: func(s tls.ConnectionState) error {
			return l.verifyPeer(s.PeerCertificates, x509.ExtKeyUsageAny)
		},
	}
}

// verifyPeer checks a peer's chain against the current authority.
func (l *Loader) verifyPeer(chain []*x509.Certificate, usage x509.ExtKeyUsage) error {
	return l.current.Load().verifyChain(chain, usage, l.clock.Now())
}
