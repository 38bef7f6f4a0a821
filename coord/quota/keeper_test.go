package quota

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/parts"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
)

// cell is a platform table with a publisher and one Keeper, in manual time.
type cell struct {
	t         *testing.T
	timers    *timer.Service
	platform  *store.Memory
	publisher *config.Publisher
	keeper    *Keeper
}

func newCell(t *testing.T) *cell {
	timers := timer.New(timer.WithManual(time.Unix(0, 0)))
	platform := store.New(store.WithTimer(timers))
	f := config.NewFollower("a", "z1", platform, timers)
	return &cell{
		t: t, timers: timers, platform: platform,
		publisher: config.NewPublisher(platform, timers, zap.NewNop()),
		keeper:    New(platform, f, timers, []string{"z1", "z2"}, zap.NewNop()),
	}
}

// limit publishes a task limit of the team "shop" and returns the snapshot.
func (c *cell) limit(tasks int64) *config.Snapshot {
	c.t.Helper()
	is := is.New(c.t)
	_, err := c.publisher.Publish(context.Background(), &config.Edit{
		ID: audit.NewID(c.timers.Now()), Base: config.AnyVersion, Action: audit.Set,
		Put: []config.Object{&config.Team{Name: "shop"}, &config.Limit{Name: "shop", Team: "shop", Tasks: &tasks}},
	})
	is.NoErr(err)
	_, snap, err := c.publisher.Newest(context.Background())
	is.NoErr(err)
	return snap
}

// unsettled returns how many teams exceed their limits.
func (c *cell) unsettled(s *config.Snapshot) int {
	c.t.Helper()
	waits, err := c.keeper.Unsettled(context.Background(), s)
	is.New(c.t).NoErr(err)
	return len(waits)
}

func TestLoweredLimitWaitsForParts(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	is.Equal(c.unsettled(c.limit(100)), 0)
	h := parts.New("p1", "z1", parts.WithTimer(c.timers))
	h.Limit(map[string]parts.Dims{"shop": parts.DimsOf(parts.Tasks)})
	is.True(!h.Take("shop", parts.Count(80))) // Records the demand for Settle.
	is.NoErr(h.Settle(t.Context(), c.platform, "shop", parts.Count(80)))
	lowered := c.limit(10)
	is.Equal(c.unsettled(lowered), 1)
	far := parts.New("p2", "z2", parts.WithTimer(c.timers))
	far.Limit(map[string]parts.Dims{"shop": parts.DimsOf(parts.Tasks)})
	for range 20 {
		c.timers.Advance(time.Minute)
		is.NoErr(h.Settle(t.Context(), c.platform, "shop", parts.Amount{}))
		is.NoErr(far.Settle(t.Context(), c.platform, "shop", parts.Amount{}))
	}
	is.Equal(c.unsettled(lowered), 0)
	again := c.limit(100)
	is.Equal(c.unsettled(again), 0)
}

// TestOldVersionWritesNoLimit checks that a process with an old configuration
// can't restore a limit that was lowered since.
func TestOldVersionWritesNoLimit(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	old := c.limit(100)
	is.Equal(c.unsettled(c.limit(10)), 0)
	lagging := New(c.platform, c.keeper.follower, c.timers, []string{"z1", "z2"}, zap.NewNop())
	_, err := lagging.Unsettled(t.Context(), old)
	var moved *MovedError
	is.True(errors.As(err, &moved))
	a, err := lagging.account(t.Context(), "shop")
	is.NoErr(err)
	is.Equal(a.Limit, parts.Count(10))
}

// TestLimitRaisedAndLoweredUnseen checks that a Keeper that skipped a version
// reads the account again, although the limit equals the one it settled: the
// limit was raised meanwhile, and the parts may have grown.
func TestLimitRaisedAndLoweredUnseen(t *testing.T) {
	is := is.New(t)
	c := newCell(t)
	is.Equal(c.unsettled(c.limit(10)), 0)
	other := New(c.platform, c.keeper.follower, c.timers, []string{"z1", "z2"}, zap.NewNop())
	waits, err := other.Unsettled(t.Context(), c.limit(100))
	is.NoErr(err)
	is.Equal(len(waits), 0)
	h := parts.New("p1", "z1", parts.WithTimer(c.timers))
	h.Limit(map[string]parts.Dims{"shop": parts.DimsOf(parts.Tasks)})
	is.True(!h.Take("shop", parts.Count(80))) // Records the demand for Settle.
	is.NoErr(h.Settle(t.Context(), c.platform, "shop", parts.Count(80)))
	is.Equal(c.unsettled(c.limit(10)), 1)
}
