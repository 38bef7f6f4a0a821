package owner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
)

// A run on an executor of the owner's zone is ordered once it is recorded, and not if
// its job was cancelled meanwhile; in other zones it is ordered at once.
func TestStartsOfOwnZoneWaitForTheRecord(t *testing.T) {
	job := &model.Job{ID: "0123456789abcdef", Queue: "q", Steps: []model.Step{{Count: 1, Need: model.Amount{CPU: 1}}}}
	tests := map[string]struct {
		zone          string // of the executor; the owner's is "z"
		cancel        bool
		before, after int  // orders before and after the record
		waits         bool // the order waits for the record
	}{
		"own zone":            {zone: "z", after: 1, waits: true},
		"own zone, cancelled": {zone: "z", cancel: true, waits: true},
		"another zone":        {zone: "y", before: 1, after: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
			tm, _ := newTerm()
			tm.owner.clock, tm.zone, tm.ctx = clock, "z", context.Background()
			tm.owner.connect = func(string, string) Executor { return &follower{} }
			tm.owner.pacer, tm.held = unconfirmed{}, make(map[string][]plan.Start)
			tm.confirm(clock.Boot(), leastAuthority)
			config := model.NewConfig(1, []model.Queue{{Name: "q", Service: "s", Attempts: 1}}, []model.Service{{Name: "s"}}, nil)
			tm.plan = plan.New(config)
			a := newAgent(tm, model.Executor{ID: "e", Service: "s", Zone: tt.zone, Room: model.Amount{CPU: 9}})
			tm.agents["e"] = a
			tm.plan.SetExecutor(a.info)
			tm.plan.AllExecutorsListed()
			is.True(a.reported(clock.Now(), clock.Boot(), &platform.Report{Clock: time.Hour}))
			tm.plan.AddJob(clock.Now(), job, nil)
			for _, s := range tm.plan.Decide(clock.Now()).Starts {
				if !tm.hold(a, s) {
					a.give(order{start: &s})
				}
			}
			is.Equal(len(a.orders), tt.before)
			is.Equal(len(tm.held) > 0, tt.waits)
			if tt.cancel {
				tm.plan.Cancel(clock.Now(), job.ID)
			}
			r := &recorder{term: tm}
			b := r.collect()
			is.Equal(b.zone, "z") // All of its executors are known.
			r.keep(b)
			is.Equal(len(a.orders), tt.after)
			is.Equal(len(tm.held), 0)
		})
	}
}

// A zone with an executor that hasn't reported yet may have runs that aren't recorded.
func TestUnknownExecutorOfOwnZone(t *testing.T) {
	is := is.New(t)
	tm, _ := newTerm()
	tm.zone = "z"
	tm.plan.AllExecutorsListed()
	tm.plan.SetExecutor(model.Executor{ID: "e", Service: "s", Zone: "z"})
	is.Equal((&recorder{term: tm}).collect().zone, "")
}

// While records aren't confirmed, work doesn't wait for its record: it goes to executors
// of other zones. Where all hosts are in one zone nothing is held back.
func TestWorkAvoidsZoneWithoutRecords(t *testing.T) {
	job := &model.Job{ID: "0123456789abcdef", Queue: "q", Steps: []model.Step{{Count: 1, Need: model.Amount{CPU: 1}}}}
	tests := map[string]struct {
		zone   string // of the other host
		passed time.Duration
		held   int
		orders map[string]int // by executor, which is named after its zone
	}{
		"confirmed":     {zone: "y", held: 1, orders: map[string]int{}},
		"not confirmed": {zone: "y", passed: leastAuthority + time.Millisecond, orders: map[string]int{"y": 1}},
		"one zone":      {zone: "z", orders: map[string]int{"z": 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
			tm, b := newTerm()
			show(t, b, board.HostKey("other"), board.Host{Name: "other", Zone: tt.zone})
			tm.owner.clock, tm.owner.zone, tm.ctx = clock, "z", context.Background()
			tm.owner.connect = func(string, string) Executor { return &follower{} }
			tm.owner.pacer, tm.held, tm.zone = unconfirmed{}, make(map[string][]plan.Start), tm.owner.heldZone()
			tm.confirm(clock.Boot(), leastAuthority)
			config := model.NewConfig(1, []model.Queue{{Name: "q", Service: "s", Attempts: 1}}, []model.Service{{Name: "s"}}, nil)
			tm.plan = plan.New(config)
			decide := func() {
				tm.avoidHeld(clock.Now())
				for _, s := range tm.plan.Decide(clock.Now()).Starts {
					if a := tm.agents[s.Executor]; !tm.hold(a, s) {
						a.give(order{start: &s})
					}
				}
			}
			add := func(id string) {
				a := newAgent(tm, model.Executor{ID: id, Service: "s", Zone: id, Room: model.Amount{CPU: 9}})
				tm.agents[id] = a
				tm.plan.SetExecutor(a.info)
				is.True(a.reported(clock.Now(), clock.Boot(), &platform.Report{Clock: time.Hour}))
			}
			add("z")
			tm.plan.AllExecutorsListed()
			tm.plan.AddJob(clock.Now(), job, nil)
			decide()
			add("y")
			clock.Advance(tt.passed)
			decide()
			is.Equal(len(tm.held), tt.held)
			for id, a := range tm.agents {
				is.Equal(len(a.orders), tt.orders[id])
			}
		})
	}
}
