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

const (
	// defaultPollWait is how long the store may hold a long poll without changes. It
	// bounds how long a dead connection goes unnoticed.
	defaultPollWait = time.Second
	// overdueAfter is how late the answer to a call may be before the store counts as
	// failing.
	overdueAfter = 600 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 150 * time.Millisecond
)

// maxConcurrentReads bounds the partitions that are read at the same time. With more of
// them, none would be answered in time on a host with a slow link.
const maxConcurrentReads = 4

// Store is the part of platform.Store that a Follower uses, with the same errors.
type Store interface {
	Read(table, part, from, to string) ([]platform.Row, int64, error)
	Watch(table string, after int64, wait time.Duration) ([]platform.Row, int64, error)
}

// Handler receives the contents and the changes of a table. Its methods are called from
// one goroutine.
type Handler interface {
	// Reset receives all rows of the table, which replace those received before.
	Reset(rows []platform.Row)
	// Change receives changed and deleted rows, in the order of their versions.
	Change(rows []platform.Row)
}

// Follower watches one table and passes its rows to a Handler.
type Follower struct {
	store      Store
	feed       Feed        // nil for none
	keepRecent func() bool // reports whether to keep changes for other hosts; nil for never
	shortWait  func() bool // reports whether the store may hold a poll for shortPollWait only; nil for never
	clock      *timer.Service
	table      string
	parts      []string
	handler    Handler
	pollWait   time.Duration
	logger     *zap.Logger
	gapChanged chan struct{} // signals a change of gap to waitGap

	mu         sync.Mutex    // guards the fields below
	gap        time.Duration // minimum time between two calls
	syncedAt   time.Time     // when the last successful call was sent
	syncedBoot time.Duration // syncedAt as time since boot, suspensions included
	failing    bool          // the last call failed
	feedAge    time.Duration // how old the last changes were when they came from the feed, 0 from the store
	callAt     time.Time     // when the current call was sent or, between calls, the last one succeeded
	calling    bool          // a call is under way
	callWait   time.Duration // how long the current call may be held up
	version    int64         // store version up to which the handler has all changes
	recent     recent        // changes for other hosts
}

// Option changes how New makes a Follower.
type Option func(*Follower)

// WithGap sets the minimum time between two calls to the store, 0 by default. Changes
// within that time are received together.
func WithGap(d time.Duration) Option { return func(f *Follower) { f.gap = d } }

// WithShortWait makes polls wait for changes for shortPollWait only while wanted returns true, so
// that SyncedBoot is recent.
func WithShortWait(wanted func() bool) Option { return func(f *Follower) { f.shortWait = wanted } }

// WithLogger sets the logger. The default discards all messages.
func WithLogger(l *zap.Logger) Option { return func(f *Follower) { f.logger = l } }

// New returns a Follower that passes the rows of table to h. Parts are all partitions of
// the table.
func New(store Store, clock *timer.Service, table string, parts []string, h Handler, opts ...Option) *Follower {
	f := &Follower{store: store, clock: clock, table: table, parts: parts, handler: h, pollWait: defaultPollWait, logger: zap.NewNop(), gapChanged: make(chan struct{}, 1)}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// SyncedAt returns the time up to which the handler has received all changes: when the last
// successful call was sent. It is the zero time before the first one. SyncedAt may be called
// concurrently.
func (f *Follower) SyncedAt() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncedAt
}

// SetGap changes the minimum time between two calls to the store. It also applies to a
// pause that has begun. It may be called concurrently.
func (f *Follower) SetGap(d time.Duration) {
	f.mu.Lock()
	f.gap = d
	f.mu.Unlock()
	select {
	case f.gapChanged <- struct{}{}:
	default:
	}
}

// waitGap waits until the gap since sentAt, when the last call was sent, is over.
func (f *Follower) waitGap(ctx context.Context, sentAt time.Time) {
	for ctx.Err() == nil {
		f.mu.Lock()
		left := f.gap - f.clock.Now().Sub(sentAt)
		f.mu.Unlock()
		if left <= 0 {
			return
		}
		elapsed := make(chan struct{})
		t := f.clock.After(left, func() { close(elapsed) })
		select {
		case <-ctx.Done():
		case <-elapsed:
		case <-f.gapChanged: // The rest of the pause is computed again.
		}
		t.Stop()
	}
}

// SyncedBoot returns the same moment as SyncedAt, as the time since the boot of the machine,
// suspensions included. It may be called concurrently.
func (f *Follower) SyncedBoot() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.syncedBoot
}

// Version returns the store version up to which the handler has received all changes.
// After a full read that is the lowest of the versions at which the partitions were read:
// of later changes, only some were in the rows that were read. Version may be called
// concurrently.
func (f *Follower) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// markSynced notes that the handler has all changes up to version, by a call that was
// sent at sentAt, which is sentBoot on the clock that includes suspensions.
// Changes that came from a feed were age old then.
func (f *Follower) markSynced(sentAt time.Time, sentBoot, age time.Duration, version int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if sentBoot-age < f.syncedBoot {
		age = sentBoot - f.syncedBoot // What was known before still holds.
	}
	f.syncedAt, f.syncedBoot, f.feedAge, f.failing, f.version = sentAt.Add(-age), sentBoot-age, age, false, version
	f.callAt, f.calling = f.clock.Now(), false
}

// Failing reports whether the last call failed, the answer to the current one is overdue, or no
// call has succeeded yet. It may be called concurrently.
func (f *Follower) Failing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	heldUp := f.gap
	if f.calling {
		heldUp = f.callWait
	}
	return f.failing || f.syncedBoot == 0 || f.clock.Now().Sub(f.callAt) > heldUp+overdueAfter
}

// callSent notes that a call is sent now that may be held up for wait.
func (f *Follower) callSent(wait time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.callAt, f.calling, f.callWait = f.clock.Now(), true, wait
}

func (f *Follower) markFailed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failing = true
}

// Run watches the table until ctx ends and retries failed calls. It always returns nil,
// so that it can run in an errgroup.
func (f *Follower) Run(ctx context.Context) error {
	version, read, outage := int64(0), false, false
	for ctx.Err() == nil {
		sentAt, sentBoot := f.clock.Now(), f.clock.Boot()
		next, age, err := f.poll(version, read)
		if err != nil {
			f.markFailed()
			var history *platform.HistoryError
			if errors.As(err, &history) {
				f.logger.Info("rereading the table", zap.String("table", f.table), zap.Error(err))
				read = false
				continue
			}
			if !outage {
				outage = true
				f.logger.Warn("table can't be followed", zap.String("table", f.table), zap.Int64("version", version), zap.Error(err))
			}
			_ = f.clock.Sleep(ctx, retryPause)
			continue
		}
		if outage {
			outage = false
			f.logger.Info("table is followed again", zap.String("table", f.table), zap.Int64("version", next))
		}
		version, read = max(version, next), true
		f.markSynced(sentAt, sentBoot, age, version)
		f.waitGap(ctx, sentAt)
	}
	return nil
}

// poll passes the rows of the whole table to the handler, or, if it has been read, the
// changes after version. It returns the version to continue from, and how old the changes
// were when poll was called if they came from the feed.
func (f *Follower) poll(version int64, read bool) (next int64, age time.Duration, err error) {
	if !read {
		f.callSent(0)
		rows, next, err := f.readAll()
		if err == nil {
			f.keep(nil, next, true)
			f.handler.Reset(rows)
		}
		return next, 0, err
	}
	rows, next, age, err := f.changes(version)
	if err == nil && len(rows) > 0 {
		f.keep(rows, next, false)
		f.handler.Change(rows)
	}
	return next, age, err
}

// readAll reads all partitions, up to maxConcurrentReads at the same time. The version is
// the lowest at which one of them was read: a watch from there misses no change, and
// repeats some in order. After the first error no further partition is read.
func (f *Follower) readAll() ([]platform.Row, int64, error) {
	parts := make([][]platform.Row, len(f.parts))
	versions := make([]int64, len(f.parts))
	g, ctx := errgroup.WithContext(context.Background())
	g.SetLimit(maxConcurrentReads)
	for i, part := range f.parts {
		g.Go(func() error {
			if err := context.Cause(ctx); err != nil {
				return err
			}
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
