package config

import (
	"crypto/rand"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

const (
	// DefaultPeriod is how long a read of the head confirms a version,
	// counted from when it was sent.
	DefaultPeriod = 2 * time.Second
	// DefaultInterval is the time between two reads of the head.
	DefaultInterval = 500 * time.Millisecond
	// DefaultReaders is how many processes of a zone read the platform; the
	// others ask them.
	DefaultReaders = 4
)

// Option changes how NewFollower makes a Follower.
type Option func(*Follower)

// WithPeers sets the other processes and how to call them. address is that of
// the process's own link.Node.
func WithPeers(r Roster, c Caller, address string) Option {
	return func(f *Follower) { f.roster, f.caller, f.address = r, c, address }
}

// WithWriter says that the process may publish, so that others ask it for
// answers while the platform is away. It needs peers.
func WithWriter() Option {
	return func(f *Follower) { f.writer, f.run = true, rand.Text() }
}

// WithPeriod sets how long a read of the head confirms a version and the time
// between two reads. All processes need the same period.
func WithPeriod(period, interval time.Duration) Option {
	return func(f *Follower) { f.period, f.interval = period, interval }
}

// WithReaders sets how many processes of a zone read the platform.
func WithReaders(n int) Option {
	return func(f *Follower) { f.readers = max(n, 1) }
}

// WithLog sets the logger.
func WithLog(l *zap.Logger) Option {
	return func(f *Follower) { f.log = l }
}

// WithMetrics sets the registry in which the follower counts; docs/METRICS.md
// lists the names.
func WithMetrics(r metrics.Registry) Option {
	return func(f *Follower) { f.registry = r }
}
