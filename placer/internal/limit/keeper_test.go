package limit

import (
	"context"
	"slices"
	"strconv"
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
		is.Equal(len(s.Decide()), 3) // a team without a limit isn't held back
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

// TestLimitLoweredUnderLoad lowers a limit while all placers together run as many
// tasks as it allows and more wait. Once each placer has settled, no task may
// start above the new limit. Running tasks aren't stopped. The limit is accepted
// once usage is below it, and is fully used afterwards.
func TestLimitLoweredUnderLoad(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table, clock := store.New(), timer.New(timer.WithManual(time.Unix(0, 0)))
	zones := []string{"a", "b", "c"}
	bound := func(accel int64) map[string]parts.Bound {
		b := parts.AtMost(100)
		b.Set(parts.Accel, accel)
		return map[string]parts.Bound{"t": b}
	}
	var keepers []*Keeper
	var scheds []*sched.Scheduler
	for i := range 6 {
		k := New("p"+strconv.Itoa(i), zones[i%3], clock)
		k.Configure(bound(40))
		s := sched.New(sched.WithTimer(clock), sched.WithLimit(k))
		s.Join(sched.Endpoint{Name: "w", Kind: point.Worker, Capacity: wire.Needs{CPU: 1000, Accel: 100}})
		is.NoErr(s.Submit(sched.Item{ID: "j", Team: "t", Kind: wire.Batch, Needs: wire.Needs{CPU: 1, Accel: 1}, Tasks: 1000}))
		keepers, scheds = append(keepers, k), append(scheds, s)
	}
	_, err := keepers[0].Publish(ctx, table, zones)
	is.NoErr(err)
	running, ends := 0, 0
	round := func() (started int) {
		clock.Advance(200 * time.Millisecond)
		for i, k := range keepers {
			for _, r := range k.Asks([]string{"p" + strconv.Itoa((i+3)%6)}) {
				if confirm := k.Accept(keepers[(i+3)%6].Serve(r.Ask)); confirm != nil {
					keepers[(i+3)%6].Serve(confirm.Ask)
				}
			}
			is.NoErr(k.Settle(ctx, table))
			for _, d := range scheds[i].Decide() {
				started++
				running++
				ends++
				clock.After(time.Duration(20000+ends*997%20000)*time.Millisecond, func() {
					running--
					scheds[i].Ended(d.ID, d.Task, true)
				})
			}
		}
		return started
	}
	for range 5 * 120 {
		round()
	}
	is.Equal(running, 40)
	for _, k := range keepers {
		k.Configure(bound(16))
	}
	accepted, err := keepers[0].Publish(ctx, table, zones)
	is.NoErr(err)
	is.True(!accepted)
	round()
	for range 5 * 120 {
		if started := round(); started > 0 {
			is.True(running <= 16)
		}
		if accepted, err = parts.Accepted(ctx, table, "t"); accepted {
			break
		}
	}
	is.NoErr(err)
	is.True(accepted)
	is.True(running <= 16)
	t.Logf("limit accepted %v after it was published", clock.Boot()-2*time.Minute)
	for range 5 * 60 {
		round()
		is.True(running <= 16)
	}
	is.Equal(running, 16)
}

// TestScatteredPartsAreGathered checks that placers don't deadlock when the parts
// of a limit are scattered over zones and placers, and several placers each need
// more than they hold for one task or gang: one after another has to get enough.
func TestScatteredPartsAreGathered(t *testing.T) {
	tests := map[string]struct {
		limit   int64
		zones   []string // of the placers
		kind    wire.Kind
		tasks   int
		accel   int64
		waiting int // number of placers at which such a task waits
	}{
		"8 of 12, four zones":            {12, []string{"a", "b", "c", "d"}, wire.Batch, 1, 8, 4},
		"12 of 12, four zones":           {12, []string{"a", "b", "c", "d"}, wire.Batch, 1, 12, 4},
		"12 of 12, one waits":            {12, []string{"a", "b", "c", "d"}, wire.Batch, 1, 12, 1},
		"8 of 12, one zone":              {12, []string{"a", "a", "a", "a"}, wire.Batch, 1, 8, 4},
		"12 of 12, two zones":            {12, []string{"a", "b", "a", "b"}, wire.Batch, 1, 12, 4},
		"gang of 5 with 2, two zones":    {12, []string{"a", "b", "a", "b"}, wire.Gang, 5, 2, 4},
		"gang of 12 with 1, three zones": {12, []string{"a", "b", "c", "b"}, wire.Gang, 12, 1, 4},
		"64 of 64, all hold spares":      {64, slices.Repeat([]string{"a", "b", "c", "d"}, 6), wire.Batch, 1, 64, 24},
		"8 of 64, all need them":         {64, slices.Repeat([]string{"a", "b", "c", "d"}, 6), wire.Batch, 1, 8, 24},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			table, clock := &countingTable{Memory: store.New()}, timer.New(timer.WithManual(time.Unix(0, 0)))
			limit := parts.AtMost(100)
			limit.Set(parts.Accel, tt.limit)
			keepers := make(map[string]*Keeper)
			scheds := make(map[string]*sched.Scheduler)
			peers := make(map[string][]string)
			var names []string
			for i, zone := range tt.zones {
				name := "p" + strconv.Itoa(i)
				k := New(name, zone, clock)
				k.Configure(map[string]parts.Bound{"t": limit})
				_, err := k.Publish(ctx, table, tt.zones[:min(len(tt.zones), 4)])
				is.NoErr(err)
				s := sched.New(sched.WithTimer(clock), sched.WithLimit(k))
				s.Join(sched.Endpoint{Name: "w", Kind: point.Worker, Capacity: wire.Needs{CPU: 1000, Accel: 64}})
				for j, other := range tt.zones {
					if other == zone && j != i {
						peers[name] = append(peers[name], "p"+strconv.Itoa(j))
					}
				}
				names, keepers[name], scheds[name] = append(names, name), k, s
				is.True(!k.Take("t", parts.Amount{parts.Tasks: 1, parts.Accel: 3})) // demand that scatters parts of 3
				is.NoErr(k.Settle(ctx, table))
			}
			for i, name := range names[:tt.waiting] {
				is.NoErr(scheds[name].Submit(sched.Item{
					ID: "j" + strconv.Itoa(i), Team: "t", Kind: tt.kind, Needs: wire.Needs{CPU: 1, Accel: tt.accel}, Tasks: tt.tasks,
				}))
			}
			started, running, most := 0, map[string][]sched.Decision{}, int64(0)
			for range 30 * 60 * 5 { // 30 minutes of rounds of 200 ms
				clock.Advance(200 * time.Millisecond)
				held := int64(0)
				for _, name := range names {
					for _, d := range running[name] {
						scheds[name].Ended(d.ID, d.Task, true)
					}
					running[name] = scheds[name].Decide()
					started += len(running[name])
					for _, r := range keepers[name].Asks(peers[name]) {
						if confirm := keepers[name].Accept(keepers[r.Peer].Serve(r.Ask)); confirm != nil {
							keepers[r.Peer].Serve(confirm.Ask)
						}
					}
					is.NoErr(keepers[name].Settle(ctx, table))
				}
				for _, list := range running {
					for _, d := range list {
						held += d.Needs.Accel
					}
				}
				most = max(most, held)
				if started == tt.waiting*tt.tasks {
					break
				}
			}
			is.True(most <= tt.limit)
			is.Equal(started, tt.waiting*tt.tasks)
			is.True(table.writes <= 15*len(names)) // more if they kept taking parts from one another
			t.Logf("all tasks started after %v, with %d writes", clock.Boot(), table.writes)
		})
	}
}

// countingTable counts the reads and writes of the platform's table.
type countingTable struct {
	*store.Memory
	reads, writes int
}

func (c *countingTable) Commit(ctx context.Context, ops []store.Op) error {
	c.writes++
	return c.Memory.Commit(ctx, ops)
}

func (c *countingTable) Get(ctx context.Context, table, key string) (store.Row, error) {
	c.reads++
	return c.Memory.Get(ctx, table, key)
}

// TestSettleReadsLittle checks that 200 placers use at most a quarter of the
// platform's 2,000 reads per second while no part moves.
func TestSettleReadsLittle(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := &countingTable{Memory: store.New()}
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

// TestLoweredLimitIsGivenBackSoon checks that a lowered limit is accepted within
// seconds after the tasks above it have ended.
func TestLoweredLimitIsGivenBackSoon(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := store.New()
	clock := timer.New(timer.WithManual(time.Unix(0, 0)))
	k := New("p", "a", clock)
	set := func(limit int64) {
		k.Configure(map[string]parts.Bound{"t": parts.AtMost(limit)})
		_, err := k.Publish(ctx, table, []string{"a"})
		is.NoErr(err)
		is.NoErr(k.Settle(ctx, table))
	}
	set(100)
	is.True(!k.Take("t", parts.Count(50)))
	is.NoErr(k.Settle(ctx, table))
	is.True(k.Take("t", parts.Count(50)))
	set(10)
	k.Give("t", parts.Count(45))
	fits := false
	for range 3 {
		clock.Advance(time.Second)
		is.NoErr(k.Settle(ctx, table))
		var err error
		fits, err = parts.Accepted(ctx, table, "t")
		is.NoErr(err)
	}
	is.True(fits)
}
