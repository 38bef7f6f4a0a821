package config

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

const (
	// askInterval is the time between two questions to a process that has
	// not confirmed.
	askInterval = 100 * time.Millisecond
	// drift is the share by which clocks of two hosts may run apart, as a
	// divisor.
	drift = 100
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
	return &Waiter{platform: p, timers: timers, follower: f, settler: settler, log: log, rows: make(map[string]seenRow)}
}

// Wait tells all processes of res until the version is in force everywhere or
// ctx ends. report is called with each change of the progress, one call after
// another.
func (w *Waiter) Wait(ctx context.Context, res Result, report func(Progress)) (Progress, error) {
	r := &round{waiter: w, head: res.Head, end: res.Published + w.lapse(res.Head), confirmed: make(map[string]bool)}
	if res.snap != nil {
		w.follower.adopt(res.Head, res.snap)
	}
	var last Progress
	for {
		p, err := r.ask(ctx)
		if p.Accepted || !samePeers(p, last) {
			report(p)
		}
		last = p
		if p.Accepted {
			w.accept(ctx, res.Head.Version)
			return p, nil
		}
		if err := w.timers.Sleep(ctx, askInterval); err != nil {
			return p, &WaitError{Progress: p, Err: err}
		}
		if err != nil {
			w.log.Warn("hosts not listed", zap.Error(err))
		}
	}
}

// lapse returns how long after the write of head a process can honour keys of
// an older version.
func (w *Waiter) lapse(head Head) time.Duration {
	d := w.follower.period + head.Older
	return d + d/drift
}

func samePeers(a, b Progress) bool {
	return slices.Equal(a.Confirmed, b.Confirmed) && slices.Equal(a.Missing, b.Missing) && slices.Equal(a.Waits, b.Waits)
}

// round is the state of one Wait.
type round struct {
	waiter *Waiter
	head   Head
	end    time.Duration // on Boot, when everything older has lapsed
	listed []Peer        // processes listed after the write; nil until they could be read

	mu        sync.Mutex // guards confirmed
	confirmed map[string]bool
}

// ask tells all processes that have not confirmed and returns how it stands.
func (r *round) ask(ctx context.Context) (Progress, error) {
	w := r.waiter
	err := r.list(ctx)
	peers := r.peers()
	var g errgroup.Group
	g.SetLimit(tellers)
	for _, p := range peers {
		if r.has(p.Name) {
			continue
		}
		g.Go(func() error { r.askPeer(ctx, p); return nil })
	}
	_ = g.Wait()
	out := Progress{Version: r.head.Version, Lapse: max(0, r.end-w.timers.Boot())}
	for _, p := range peers {
		if r.has(p.Name) {
			out.Confirmed = append(out.Confirmed, p.Name)
			continue
		}
		out.Missing = append(out.Missing, p.Name)
	}
	slices.Sort(out.Confirmed)
	slices.Sort(out.Missing)
	out.Accepted = out.Lapse == 0 || r.listed != nil && len(out.Missing) == 0
	if out.Accepted {
		out.Waits = r.unsettled(ctx)
		out.Accepted = len(out.Waits) == 0
	}
	return out, err
}

// list reads which processes are listed, once after the write: a process that
// was listed later has read the head later still.
func (r *round) list(ctx context.Context) error {
	if r.listed != nil {
		return nil
	}
	peers, err := r.waiter.members(ctx)
	if err != nil {
		return err
	}
	r.listed = peers
	return nil
}

// peers returns the processes that are listed, or those of the roster as long
// as the list can't be read. A process that isn't listed honours no keys.
func (r *round) peers() []Peer {
	f := r.waiter.follower
	out := append([]Peer{f.self()}, r.listed...)
	if r.listed == nil {
		out = append(out, f.roster.Peers()...)
	}
	slices.SortStableFunc(out, func(a, b Peer) int { return strings.Compare(a.Name, b.Name) })
	return slices.CompactFunc(out, func(a, b Peer) bool { return a.Name == b.Name })
}

func (r *round) has(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed[name]
}

// askPeer tells one process of the head and counts it if it has applied it.
func (r *round) askPeer(ctx context.Context, p Peer) {
	f := r.waiter.follower
	in := Told{Head: r.head, Address: f.address}
	if p.Name == f.name {
		f.told(ctx, Told{Head: r.head})
		r.confirm(p.Name, f.Status())
		return
	}
	if f.caller == nil {
		return
	}
	ctx, cancel := f.timeout(ctx, f.period/2)
	defer cancel()
	f.counts.tells.Inc(1)
	var out Status
	if f.caller.Call(ctx, p.Address, wire.VerbTell, in, &out) == nil {
		r.confirm(p.Name, out)
	}
}

func (r *round) confirm(name string, s Status) {
	if s.Name != name || s.Head.Version < r.head.Version || s.Head.Version == r.head.Version && s.Head.Digest != r.head.Digest {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.confirmed[name] = true
}

func (r *round) unsettled(ctx context.Context) []string {
	w := r.waiter
	snap := w.follower.Current()
	if w.settler == nil || snap == nil {
		return nil
	}
	waits, err := w.settler.Unsettled(ctx, snap)
	if err != nil {
		return []string{err.Error()}
	}
	return waits
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
			_ = w.platform.Commit(ctx, []store.Op{{Table: Table, Key: row.Key, Expect: row.Version, Action: store.Delete}})
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
func (w *Waiter) accept(ctx context.Context, version uint64) {
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
