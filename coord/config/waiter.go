package config

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
)

const (
	// pollInterval is the time between two announcements to a process that has
	// not confirmed.
	pollInterval = 100 * time.Millisecond
	// reportInterval is the longest time between two calls of a Wait's report.
	reportInterval = 5 * time.Second
	// maxCalls limits the concurrent calls to peers.
	maxCalls = 64
	// driftDivisor bounds how far the clocks of two hosts drift apart: by at
	// most 1/driftDivisor of the time measured.
	driftDivisor = 100
)

// Settler reports what else has to happen before a version is in force, such as
// returning the excess of a lowered limit.
type Settler interface {
	// Unsettled returns descriptions of what is not yet done; none if all is done.
	Unsettled(ctx context.Context, s *Snapshot) ([]string, error)
}

// Waiter announces a published version to all processes and determines when it
// is in force everywhere: each process has either applied it, or has gone so
// long without a confirmation of its older version that it accepts no keys. Its
// methods may be called concurrently, except Close.
type Waiter struct {
	platform FollowerPlatform
	timers   *timer.Service
	follower *Follower
	settler  Settler
	log      *zap.Logger
	calls    errgroup.Group // calls to peers
	polls    errgroup.Group // one goroutine for each announceAll, which waits for its calls

	mu   sync.Mutex // guards rows
	rows map[string]seenRow
}

// seenRow is the version of a process's row and since when it has not changed.
type seenRow struct {
	version uint64
	since   time.Duration
}

// NewWaiter returns a Waiter that calls the peers of f. settler may be nil.
func NewWaiter(p FollowerPlatform, timers *timer.Service, f *Follower, settler Settler, log *zap.Logger) *Waiter {
	w := &Waiter{platform: p, timers: timers, follower: f, settler: settler, log: log, rows: make(map[string]seenRow)}
	w.calls.SetLimit(maxCalls)
	return w
}

// Wait announces the version of res to all processes until it is in force
// everywhere or ctx ends; the error is a *WaitError in the latter case. It
// calls report whenever Confirmed, Missing or Waits change, and at least every
// five seconds or so. Calls of report don't overlap.
func (w *Waiter) Wait(ctx context.Context, res Result, report func(Progress)) (Progress, error) {
	r := w.newWaitState(res)
	if res.snap != nil {
		w.follower.applyPublished(res.Head, res.snap)
	}
	var last Progress
	reported := w.timers.Boot()
	for {
		p, err := r.poll(ctx)
		if p.Accepted || !sameProgress(p, last) || w.timers.Boot()-reported >= reportInterval {
			reported = w.timers.Boot()
			report(p)
		}
		last = p
		if p.Accepted {
			w.recordAccepted(ctx, res.Head.Version)
			return p, nil
		}
		if err := w.timers.Sleep(ctx, pollDelay(p)); err != nil {
			return p, &WaitError{Progress: p, Err: err}
		}
		if err != nil {
			w.log.Warn("listed processes or roll not read", zap.Error(err))
		}
	}
}

func (w *Waiter) newWaitState(res Result) *waitState {
	return &waitState{
		waiter: w, head: res.Head, olderExpiry: res.Published + w.lapseDelay(res.Head),
		confirmed: make(map[string]ack), inFlight: make(map[string]bool),
	}
}

// Close waits until all calls to peers have ended. Wait must not be called
// afterwards.
func (w *Waiter) Close() {
	_ = w.calls.Wait()
	_ = w.polls.Wait()
}

// pollDelay returns the time until the next poll: at most until the missing
// processes lapse.
func pollDelay(p Progress) time.Duration {
	if p.Lapse > 0 {
		return min(pollInterval, p.Lapse)
	}
	return pollInterval
}

// lapseDelay returns how long after the write of head a process may accept keys
// of an older version that a read confirmed.
func (w *Waiter) lapseDelay(head Head) time.Duration {
	d := w.follower.period + head.Older
	return d + d/driftDivisor
}

func sameProgress(a, b Progress) bool {
	return slices.Equal(a.Confirmed, b.Confirmed) && slices.Equal(a.Missing, b.Missing) && slices.Equal(a.Waits, b.Waits)
}

// members returns the listed processes, and deletes the rows of those that have
// not renewed them for joinExpiry.
func (w *Waiter) members(ctx context.Context) ([]Peer, error) {
	ctx, cancel := w.follower.timeout(ctx, w.follower.period)
	defer cancel()
	rows, err := w.platform.Scan(ctx, Table, memberPrefix)
	if err != nil {
		return nil, err
	}
	peers := make([]Peer, 0, len(rows))
	for _, row := range rows {
		var p Peer
		if err := json.Unmarshal(row.Value, &p); err != nil {
			return nil, &FormError{Key: row.Key, Err: err}
		}
		if w.expired(row) {
			_ = removeMember(ctx, w.platform, row)
			continue
		}
		peers = append(peers, p)
	}
	return peers, nil
}

// expired reports whether a row has been unchanged for longer than its process
// counts itself as listed.
func (w *Waiter) expired(row store.Row) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.timers.Boot()
	seen, ok := w.rows[row.Key]
	if !ok || seen.version != row.Version {
		w.rows[row.Key] = seenRow{version: row.Version, since: now}
		return false
	}
	return now-seen.since > joinExpiry
}

// recordAccepted writes that a version is in force everywhere, so that later
// publishes needn't wait for the lapse of older ones. If the write fails, later
// publishes only wait longer.
func (w *Waiter) recordAccepted(ctx context.Context, version uint64) {
	have, row, err := readAccepted(ctx, w.platform)
	if err != nil || have >= version {
		return
	}
	value, err := json.Marshal(Accepted{Version: version})
	if err != nil {
		return
	}
	_ = w.platform.Commit(ctx, []store.Op{{Table: Table, Key: KeyAccepted, Expect: row, Value: value, Action: store.Put}})
}
