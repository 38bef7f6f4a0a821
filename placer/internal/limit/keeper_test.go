package limit

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

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
		k.Configure(map[string]int64{"t": 5})
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
