package quota

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/parts"
	"github.com/balsamford/balsamford/coord/timer"
)

const (
	// retryInterval is the time between two attempts to settle the limits.
	retryInterval = 5 * time.Second
	// callTimeout bounds all platform calls of one attempt.
	callTimeout = 5 * time.Second
)

// Keeper writes the limits of the newest configuration version to the accounts
// of all teams. Any number of processes may run one: a Keeper that lags behind
// can't write an older limit, because each write is conditional on the
// configuration head. It implements config.Settler. All methods may be called
// concurrently.
type Keeper struct {
	platform parts.Table
	follower *config.Follower
	timers   *timer.Service
	zones    []string
	log      *zap.Logger

	mu      sync.Mutex             // guards the fields below
	last    uint64                 // configuration version seen last
	settled map[string]parts.Bound // limits known to be accepted at version last, by team
}

// New returns a Keeper that splits each limit among zones. platform is a
// *store.Client or a *store.Memory.
func New(platform parts.Table, f *config.Follower, timers *timer.Service, zones []string, log *zap.Logger) *Keeper {
	return &Keeper{platform: platform, follower: f, timers: timers, zones: zones, log: log, settled: make(map[string]parts.Bound)}
}

// Run writes the limits of each version that the follower applies, and retries
// at a fixed interval. It returns nil when ctx is done.
func (k *Keeper) Run(ctx context.Context) error {
	wake := make(chan struct{}, 1)
	signal := func() {
		select {
		case wake <- struct{}{}:
		default:
		}
	}
	k.follower.Subscribe(func(*config.Snapshot) { signal() })
	t := k.timers.Every(retryInterval, signal)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-wake:
			k.reconcile(ctx)
		}
	}
}

// reconcile settles the limits of the snapshot that the follower applied last.
func (k *Keeper) reconcile(ctx context.Context) {
	snap := k.follower.Current()
	if snap == nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := k.timers.After(callTimeout, cancel)
	defer t.Stop()
	if _, err := k.Unsettled(ctx, snap); err != nil {
		k.log.Warn("failed to write team limits", zap.Error(err))
	}
}

// Unsettled writes the limits that are not in their accounts yet. It returns
// one description for each team whose allocated parts still exceed its limit.
// The error is the platform's, a *MovedError if s is no longer the newest
// version, or a *parts.RowError or *config.FormError for a row that can't be
// decoded.
func (k *Keeper) Unsettled(ctx context.Context, s *config.Snapshot) ([]string, error) {
	k.advance(s.Version())
	var waits []string
	for _, team := range s.Teams() {
		limit, ok := s.Limit(team)
		if !ok || k.isSettled(team, limit) {
			continue
		}
		wait, err := k.settleTeam(ctx, s.Version(), team, limit)
		if err != nil {
			return waits, err
		}
		if wait == "" {
			k.markSettled(s.Version(), team, limit)
			continue
		}
		waits = append(waits, wait)
	}
	return waits, nil
}

// advance sets the version seen last. It clears the settled limits if a version
// was skipped, because a limit may have been raised and lowered again unseen.
func (k *Keeper) advance(version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version > k.last+1 || version < k.last {
		clear(k.settled)
	}
	k.last = version
}

// isSettled reports whether the team's limit is known to be accepted. It forgets
// a different limit of the team.
func (k *Keeper) isSettled(team string, limit parts.Bound) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	have, ok := k.settled[team]
	if ok && have != limit {
		delete(k.settled, team)
	}
	return ok && have == limit
}

// markSettled records that the team's limit is accepted, unless another version
// has been seen meanwhile.
func (k *Keeper) markSettled(version uint64, team string, limit parts.Bound) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.last == version {
		k.settled[team] = limit
	}
}
