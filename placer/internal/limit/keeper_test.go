package limit

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/parts"
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

func TestSchedulerStaysUnderLimit(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := store.New()
	clock := timer.New(timer.WithManual(time.Unix(0, 0)))
	keepers := []*Keeper{New("p1", "a", clock), New("p2", "a", clock)}
	running := 0
	var scheds []*sched.Scheduler
	for i, k := range keepers {
		k.Configure(map[string]parts.Bound{"t": parts.AtMost(5)})
		_, err := k.Publish(ctx, table, []string{"a"})
		is.NoErr(err)
		s := sched.New(sched.WithTimer(clock), sched.WithLimit(k))
		s.Join(sched.Endpoint{Name: "w", Kind: point.Worker, Capacity: wire.Needs{CPU: 1000}})
		is.NoErr(s.Submit(sched.Item{ID: "j", Team: "t", Kind: wire.Batch, Needs: wire.Needs{CPU: 1}, Tasks: 9}))
		is.NoErr(s.Submit(sched.Item{ID: "free", Team: "other", Kind: wire.Batch, Needs: wire.Needs{CPU: 1}, Tasks: 3}))
		is.Equal(len(s.Decide()), 3) // a team without a limit isn't held
		is.NoErr(k.Settle(ctx, table))
		running += len(s.Decide())
		scheds = append(scheds, s)
		is.True(running >= i)
	}
	for range 8 {
		for i, k := range keepers {
			for _, r := range k.Asks([]string{"p" + string(rune('2'-i))}) {
				if confirm := k.Accept(keepers[1-i].Serve(r.Ask)); confirm != nil {
					keepers[1-i].Serve(confirm.Ask)
				}
			}
			is.NoErr(k.Settle(ctx, table))
			running += len(scheds[i].Decide())
		}
	}
	is.Equal(running, 5)
}

// counting counts what reaches the platform.
type counting struct {
	*store.Memory
	reads int
}

func (c *counting) Get(ctx context.Context, table, key string) (store.Row, error) {
	c.reads++
	return c.Memory.Get(ctx, table, key)
}

// 200 placers may read a quarter of the platform's 2,000 reads a second while
// no part moves.
func TestSettleReadsLittle(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := &counting{Memory: store.New()}
	clock := timer.New(timer.WithManual(time.Unix(0, 0)))
	k := New("p", "a", clock)
	limits := map[string]parts.Bound{}
	for i := range 47 {
		limits["t"+string(rune('A'+i))] = parts.AtMost(100)
	}
	k.Configure(limits)
	_, err := k.Publish(ctx, table, []string{"a"})
	is.NoErr(err)
	is.NoErr(k.Settle(ctx, table))
	table.reads = 0
	const minute = 60
	is.True(!k.Take("tA", parts.Count(1000))) // at its limit all the time
	for range minute {
		clock.Advance(time.Second)
		is.True(!k.Take("tA", parts.Count(1000)))
		is.NoErr(k.Settle(ctx, table))
	}
	is.True(table.reads*200/minute <= 2000/4)
	k.Configure(map[string]parts.Bound{"tA": parts.AtMost(50)}) // a changed limit is settled at once
	table.reads = 0
	is.NoErr(k.Settle(ctx, table))
	is.True(table.reads > 0)
}
