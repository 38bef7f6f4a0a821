package config

import (
	"crypto/rand"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
)

const (
	// DefaultPeriod is how long a read of the head confirms a version, counted
	// from when the read was sent.
	DefaultPeriod = 2 * time.Second
	// DefaultInterval is the time between two reads of the head.
	DefaultInterval = 500 * time.Millisecond
	// DefaultReaders is the number of processes of a zone that read the
	// platform; the others read from them.
	DefaultReaders = 4
)

// Option configures a Follower.
type Option func(*Follower)

// WithPeers sets the other processes, how to call them, and the address of this
// process's own link.Node. Without it the Follower reads only the platform.
func WithPeers(r Roster, c Caller, address string) Option {
	return func(f *Follower) { f.roster, f.caller, f.address = r, c, address }
}

// WithWriter makes the process a writer: it may publish, and other processes
// query it while the platform is unavailable. It requires WithPeers.
func WithWriter() Option {
	return func(f *Follower) { f.writer, f.run = true, rand.Text() }
}

// WithPeriod sets how long a read of the head confirms a version, and the time
// between two reads. All processes of a cell must use the same period.
func WithPeriod(period, interval time.Duration) Option {
	return func(f *Follower) { f.period, f.interval = period, interval }
}

// WithReaders sets the number of processes of a zone that read the platform, at
// least 1.
func WithReaders(n int) Option {
	return func(f *Follower) { f.readers = max(n, 1) }
}

// WithLog sets the logger. The default logs nothing.
func WithLog(l *zap.Logger) Option {
	return func(f *Follower) { f.log = l }
}

// WithMetrics sets the registry for the follower's metrics, which
// docs/METRICS.md lists.
func WithMetrics(r metrics.Registry) Option {
	return func(f *Follower) { f.registry = r }
}
