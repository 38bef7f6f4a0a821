package borrow

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/parts"
	"github.com/balsamford/balsamford/coord/roster"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/placer/internal/limit"
)

// singlePlacer is a fleet of one placer.
type singlePlacer struct{}

func (singlePlacer) Self() roster.Member                { return roster.Member{Name: "p"} }
func (singlePlacer) Live() []roster.Member              { return nil }
func (singlePlacer) Peers() []roster.Member             { return nil }
func (singlePlacer) Alive(string) (roster.Member, bool) { return roster.Member{}, false }
func (singlePlacer) Call(context.Context, string, string, any, any) error {
	return errors.New("no peers")
}
func (singlePlacer) Adopted(context.Context) bool { return true }
func (singlePlacer) MaxLeaseTime() time.Duration  { return time.Hour }

// TestFirstTaskWaitsForNoPeriod checks that a team gets room for its first task
// without waiting for a periodic settlement, even while another team
// permanently lacks room. The clock stands still, so no period ever elapses.
func TestFirstTaskWaitsForNoPeriod(t *testing.T) {
	is := is.New(t)
	clock, table := timer.New(timer.WithManual(time.Unix(0, 0))), store.New()
	c := NewLimiter(limit.New("p", "a", clock), "p")
	c.Configure(map[string]parts.Bound{"early": parts.AtMost(4), "full": parts.AtMost(4), "late": parts.AtMost(4)})
	_, err := c.Publish(t.Context(), table, []string{"a"})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var g errgroup.Group
	m := New(c, "a", table, singlePlacer{}, singlePlacer{}, clock, singlePlacer{}, zap.NewNop())
	g.Go(func() error { return m.Run(ctx) })
	eventually := func(team string, done func() bool) {
		for range 5000 { // up to 5 s, for a busy machine
			if done() {
				return
			}
			time.Sleep(time.Millisecond)
		}
		t.Fatalf("team %s: condition not met in time", team)
	}
	take := func(team string) bool { return c.Take(team, parts.Count(1)) }
	eventually("early", func() bool { return take("early") })
	c.Adopt("full", parts.Count(4))
	eventually("full", func() bool { // until the account shows that it is at its limit
		is.True(!take("full"))
		row, err := table.Get(ctx, parts.TableName, "full")
		is.NoErr(err)
		var a parts.Account
		is.NoErr(cbor.Unmarshal(row.Value, &a))
		e := a.Zones["a"].Holders["p"]
		return e != nil && e.Held == parts.Count(4)
	})
	for range 5 { // until its lack is known and causes no more settlements
		is.True(!take("full"))
		time.Sleep(10 * time.Millisecond)
	}
	eventually("late", func() bool { return !take("full") && take("late") })
	cancel()
	is.NoErr(g.Wait())
}
