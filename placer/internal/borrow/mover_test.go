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

// alone is a fleet of one placer.
type alone struct{}

func (alone) Self() roster.Member                                  { return roster.Member{Name: "p"} }
func (alone) Live() []roster.Member                                { return nil }
func (alone) Peers() []roster.Member                               { return nil }
func (alone) Alive(string) (roster.Member, bool)                   { return roster.Member{}, false }
func (alone) Call(context.Context, string, string, any, any) error { return errors.New("nobody") }
func (alone) Adopted(context.Context) bool                         { return true }
func (alone) Span() time.Duration                                  { return time.Hour }

// A team's first task waits for no period, also while another team lacks room
// for good. The clock stands still, so nothing periodic helps.
func TestFirstTaskWaitsForNoPeriod(t *testing.T) {
	is := is.New(t)
	clock, table := timer.New(timer.WithManual(time.Unix(0, 0))), store.New()
	c := NewCount(limit.New("p", "a", clock), "p")
	c.Configure(map[string]parts.Bound{"early": parts.AtMost(4), "full": parts.AtMost(4), "late": parts.AtMost(4)})
	_, err := c.Publish(t.Context(), table, []string{"a"})
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var g errgroup.Group
	m := New(c, "a", table, alone{}, alone{}, clock, alone{}, zap.NewNop())
	g.Go(func() error { return m.Run(ctx) })
	soon := func(team string, done func() bool) {
		for range 5000 { // as long as a busy machine may take
			if done() {
				return
			}
			time.Sleep(time.Millisecond)
		}
		t.Fatalf("team %s has no part", team)
	}
	take := func(team string) bool { return c.Take(team, parts.Count(1)) }
	soon("early", func() bool { return take("early") })
	c.Adopt("full", parts.Count(4))
	soon("full", func() bool { // it is at its limit, as the account says
		is.True(!take("full"))
		row, err := table.Get(ctx, parts.TableName, "full")
		is.NoErr(err)
		var a parts.Account
		is.NoErr(cbor.Unmarshal(row.Value, &a))
		e := a.Zones["a"].Holders["p"]
		return e != nil && e.Held == parts.Count(4)
	})
	for range 5 { // until nothing is looked up for it any more, or the test finds less
		is.True(!take("full"))
		time.Sleep(10 * time.Millisecond)
	}
	soon("late", func() bool { return !take("full") && take("late") })
	cancel()
	is.NoErr(g.Wait())
}
