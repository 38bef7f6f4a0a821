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
	// askInterval is the time between two questions to a process that has
	// not confirmed.
	pollInterval = 100 * time.Millisecond
	// reportInterval is the longest time between two reports of a wait.
	reportInterval = 5 * time.Second
	// questions bounds the questions to peers at a time.
	maxCalls = 64
	// drift is the share by which clocks of two hosts may run apart, as a
	// divisor.
	driftDivisor = 100
)

// Settler says what else has to happen before a version is in force, such as
// parts of a lowered limit that have to be given back.
type Settler interface {
	// Unsettled returns what is not yet done, in words; nothing if all is.
	Unsettled(ctx context.Context, s *Snapshot) ([]string, error)
}

// Waiter brings a published version to all processes and finds out when it is
// in force everywhere: every process has applied it, or can't have had its
// older version confirmed for so long that it honours no keys by itself. It
// may be used concurrently.
type Waiter struct {
	platform Home
	timers   *timer.Service
	follower *Follower
	settler  Settler
	log      *zap.Logger
	calls    errgroup.Group // questions to peers
	polls    errgroup.Group // waits for the questions of each round

	mu   sync.Mutex // guards rows
	rows map[string]seenRow
}

// seenRow is a process's row and since when it has been seen unchanged.
type seenRow struct {
	version uint64
	since   time.Duration
}

// NewWaiter returns a Waiter that calls the peers of f. settler may be nil.
func NewWaiter(p Home, timers *timer.Service, f *Follower, settler Settler, log *zap.Logger) *Waiter {
	w := &Waiter{platform: p, timers: timers, follower: f, settler: settler, log: log, rows: make(map[string]seenRow)}
	w.calls.SetLimit(maxCalls)
	return w
}

// Wait tells all processes of res until the version is in force everywhere or
// ctx ends. report is called with each change of the progress and now and then
// without one, one call after another.
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
			w.log.Warn("hosts not listed", zap.Error(err))
		}
	}
}

func (w *Waiter) newWaitState(res Result) *waitState {
	return &waitState{
		waiter: w, head: res.Head, olderExpiry: res.Published + w.lapseDelay(res.Head),
		confirmed: make(map[string]ack), inFlight: make(map[string]bool),
	}
}

// Close waits until all questions that were asked have ended. Wait must not be
// called any more.
func (w *Waiter) Close() {
	_ = w.calls.Wait()
	_ = w.polls.Wait()
}

// pause returns how long to wait before the next question.
func pollDelay(p Progress) time.Duration {
	if p.Lapse > 0 {
		return min(pollInterval, p.Lapse)
	}
	return pollInterval
}

// lapse returns how long after the write of head a process can honour keys of
// an older version.
func (w *Waiter) lapseDelay(head Head) time.Duration {
	d := w.follower.period + head.Older
	return d + d/driftDivisor
}

func sameProgress(a, b Progress) bool {
	return slices.Equal(a.Confirmed, b.Confirmed) && slices.Equal(a.Missing, b.Missing) && slices.Equal(a.Waits, b.Waits)
}

// members returns the processes that are listed, and deletes the rows of
// those that have not renewed them for long.
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

// expired reports whether a row has stood unchanged for longer than its
// process counts itself as listed.
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

// accept notes that a version is in force, so that later publishes needn't
// wait for older ones. Nothing is lost if that fails.
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
