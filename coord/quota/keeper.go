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
	// retryInterval is the time between two looks at limits that are not yet
	// in their accounts.
	retryInterval = 5 * time.Second
	callTime      = 5 * time.Second
)

// Keeper keeps the accounts of all teams at the limits of the newest version.
// Any number of processes may have one; a Keeper that lags behind can't write
// an older limit, because each write checks that the head is still its own. It
// implements config.Settler and may be used concurrently.
type Keeper struct {
	platform parts.Table
	follower *config.Follower
	timers   *timer.Service
	zones    []string
	log      *zap.Logger

	mu   sync.Mutex // guards the fields below
	last uint64     // version that fits is about
	fits map[string]parts.Bound
}

// New returns a Keeper that splits limits among zones. platform is a
// *store.Client or a *store.Memory.
func New(platform parts.Table, f *config.Follower, timers *timer.Service, zones []string, log *zap.Logger) *Keeper {
	return &Keeper{platform: platform, follower: f, timers: timers, zones: zones, log: log, fits: make(map[string]parts.Bound)}
}

// Run writes the limits of each version that the follower applies, until ctx
// ends, and returns nil.
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
			k.look(ctx)
		}
	}
}

func (k *Keeper) look(ctx context.Context) {
	snap := k.follower.Current()
	if snap == nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	t := k.timers.After(callTime, cancel)
	defer t.Stop()
	if _, err := k.Unsettled(ctx, snap); err != nil {
		k.log.Warn("limits not settled", zap.Error(err))
	}
}

// Unsettled writes the limits that are not in their accounts yet and returns
// those whose parts don't fit yet.
func (k *Keeper) Unsettled(ctx context.Context, s *config.Snapshot) ([]string, error) {
	k.begin(s.Version())
	var waits []string
	for _, team := range s.Teams() {
		limit, ok := s.Limit(team)
		if !ok || k.fit(team, limit) {
			continue
		}
		wait, err := k.team(ctx, s.Version(), team, limit)
		if err != nil {
			return waits, err
		}
		if wait == "" {
			k.note(s.Version(), team, limit)
			continue
		}
		waits = append(waits, wait)
	}
	return waits, nil
}

// begin forgets what was seen if it was seen longer than one version ago: a
// limit may have been raised and lowered since.
func (k *Keeper) begin(version uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if version > k.last+1 || version < k.last {
		clear(k.fits)
	}
	k.last = version
}

func (k *Keeper) fit(team string, limit parts.Bound) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	have, ok := k.fits[team]
	if ok && have != limit {
		delete(k.fits, team)
	}
	return ok && have == limit
}

func (k *Keeper) note(version uint64, team string, limit parts.Bound) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.last == version {
		k.fits[team] = limit
	}
}
