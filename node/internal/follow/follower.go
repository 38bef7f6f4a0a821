package follow

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/platform"
)

// Times of following.
const (
	// defaultWait is how long the store may wait for a change; it bounds how long
	// a connection that has gone silent stays unnoticed.
	defaultWait = time.Second
	// slowAnswer is how late an answer may come until the store counts as failing.
	slowAnswer = 600 * time.Millisecond
	// retryWait is the pause after a failed call.
	retryWait = 150 * time.Millisecond
)

// readsAtOnce is how many partitions are read at the same time: with more of them a
// host with a slow link would have no answer in time.
const readsAtOnce = 4

// Store is what a Follower needs of the platform's store.
type Store interface {
	Read(table, part, from, to string) ([]platform.Row, int64, error)
	Watch(table string, after int64, wait time.Duration) ([]platform.Row, int64, error)
}

// Handler hears of a table's rows. The calls come from one goroutine.
type Handler interface {
	// Reset gives all rows of the table; what isn't among them is gone.
	Reset(rows []platform.Row)
	// Change gives rows that have changed, in order.
	Change(rows []platform.Row)
}

// Follower follows one table.
type Follower struct {
	store   Store
	clock   *timer.Service
	table   string
	parts   []string
	handler Handler
	wait    time.Duration
	logger  *zap.Logger
	kick    chan struct{} // the gap has changed

	mu        sync.Mutex // guards the fields below
	gap       time.Duration
	fresh     time.Time
	confirmed time.Duration // fresh on the clock that includes suspensions
	failing   bool          // the last call failed
	version   int64         // of the store up to which the handler has heard of all changes
}

// Option changes how New makes a Follower.
type Option func(*Follower)

// WithGap sets the least time between two calls: changes within it come together.
func WithGap(d time.Duration) Option { return func(f *Follower) { f.gap = d } }

// WithLogger sets the logger.
func WithLogger(l *zap.Logger) Option { return func(f *Follower) { f.logger = l } }

// New returns a Follower of the rows of table, which lie in parts.
func New(store Store, clock *timer.Service, table string, parts []string, h Handler, opts ...Option) *Follower {
	f := &Follower{store: store, clock: clock, table: table, parts: parts, handler: h, wait: defaultWait, logger: zap.NewNop(), kick: make(chan struct{}, 1)}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Fresh returns the time at which what the handler has heard was complete; the
// zero time if it has heard nothing yet. It may be called concurrently.
func (f *Follower) Fresh() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh
}

// SetGap sets the least time between two calls, from now on. It may be called
// concurrently.
func (f *Follower) SetGap(d time.Duration) {
	f.mu.Lock()
	f.gap = d
	f.mu.Unlock()
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

// rest waits until the gap after a call that was sent at asked is over.
func (f *Follower) rest(ctx context.Context, asked time.Time) {
	for ctx.Err() == nil {
		f.mu.Lock()
		left := f.gap - f.clock.Now().Sub(asked)
		f.mu.Unlock()
		if left <= 0 {
			return
		}
		over := make(chan struct{})
		t := f.clock.After(left, func() { close(over) })
		select {
		case <-ctx.Done():
		case <-over:
		case <-f.kick: // It may be shorter now.
		}
		t.Stop()
	}
}

// Confirmed returns what Fresh does on the clock that includes suspensions. It
// may be called concurrently.
func (f *Follower) Confirmed() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// Version returns the version of the store up to which the handler has heard of all
// changes. After a whole read that is the oldest of the partitions' versions: rows of
// later ones may have been among them, and others not. It may be called concurrently.
func (f *Follower) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

func (f *Follower) confirm(at time.Time, boot time.Duration, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fresh, f.confirmed, f.failing, f.version = at, boot, false, version
}

// Failing reports whether the last call failed or the present one takes too
// long. It may be called concurrently.
func (f *Follower) Failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failing || f.clock.Now().Sub(f.fresh) > f.wait+f.gap+slowAnswer
}

func (f *Follower) fail() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = true
}

// Run follows until ctx ends. It always returns nil, so that it can be a member
// of a group.
func (f *Follower) Run(ctx context.Context) error {
	version, read, lost := int64(0), false, false
	for ctx.Err() == nil {
		asked, boot := f.clock.Now(), f.clock.Boot()
		next, err := f.step(version, read)
		if err != nil {
			f.fail()
			var history *platform.HistoryError
			if errors.As(err, &history) {
				f.logger.Info("reading the table anew", zap.String("table", f.table), zap.Error(err))
				read = false
				continue
			}
			if !lost {
				lost = true
				f.logger.Warn("table can't be followed", zap.String("table", f.table), zap.Int64("version", version), zap.Error(err))
			}
			_ = f.clock.Sleep(ctx, retryWait)
			continue
		}
		if lost {
			lost = false
			f.logger.Info("table is followed again", zap.String("table", f.table), zap.Int64("version", next))
		}
		version, read = max(version, next), true
		f.confirm(asked, boot, version)
		f.rest(ctx, asked)
	}
	return nil
}

// step makes one call and returns the version to go on from.
func (f *Follower) step(version int64, read bool) (int64, error) {
	if !read {
		rows, next, err := f.readAll()
		if err == nil {
			f.handler.Reset(rows)
		}
		return next, err
	}
	rows, next, err := f.store.Watch(f.table, version, f.wait)
	if err == nil && len(rows) > 0 {
		f.handler.Change(rows)
	}
	return next, err
}

// readAll reads the partitions, some at the same time. The version is the oldest of
// theirs, so that some changes are heard of again, in order.
func (f *Follower) readAll() ([]platform.Row, int64, error) {
	parts := make([][]platform.Row, len(f.parts))
	versions := make([]int64, len(f.parts))
	var g errgroup.Group
	g.SetLimit(readsAtOnce)
	for i, part := range f.parts {
		g.Go(func() error {
			var err error
			parts[i], versions[i], err = f.store.Read(f.table, part, "", "")
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return nil, 0, err
	}
	return slices.Concat(parts...), slices.Min(versions), nil
}
