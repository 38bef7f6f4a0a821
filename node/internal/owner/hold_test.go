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

// The start of a run in the owner's zone is sent only after it is recorded, and not at all
// if its job is cancelled before that. In other zones it is sent at once.
func TestStartsOfOwnZoneWaitForTheRecord(t *testing.T) {
	job := &model.Job{ID: "0123456789abcdef", Queue: "q", Steps: []model.Step{{Count: 1, Need: model.Amount{CPU: 1}}}}
	tests := map[string]struct {
		zone          string // of the executor; the owner's is "z"
		cancel        bool
		before, after int  // queued orders before and after the write
		waits         bool // the start is held back
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
			tm.owner.clock, tm.writeAheadZone, tm.ctx = clock, "z", context.Background()
			tm.owner.connect = func(string, string) Executor { return &lookExecutor{} }
			tm.owner.boardFollower, tm.heldStarts = unconfirmedBoard{}, make(map[string][]plan.Start)
			tm.confirm(clock.Boot(), minAuthority)
			config := model.NewConfig(1, []model.Queue{{Name: "q", Service: "s", Attempts: 1}}, []model.Service{{Name: "s"}}, nil)
			tm.plan = plan.New(config)
			sess := newSession(tm, model.Executor{ID: "e", Service: "s", Zone: tt.zone, Room: model.Amount{CPU: 9}})
			tm.sessions["e"] = sess
			tm.plan.SetExecutor(sess.info)
			tm.plan.AllExecutorsListed(tm.owner.clock.Now())
			is.True(sess.handleReport(pollAt(sess, clock.Now(), clock.Boot()), &platform.Report{Clock: time.Hour}))
			tm.plan.AddJob(clock.Now(), job, nil)
			for _, s := range tm.plan.Decide(clock.Now()).Starts {
				if !tm.holdStart(sess, s) {
					sess.enqueue(order{start: &s})
				}
			}
			is.Equal(len(sess.orders), tt.before)
			is.Equal(len(tm.heldStarts) > 0, tt.waits)
			if tt.cancel {
				tm.plan.Cancel(clock.Now(), job.ID)
			}
			r := &recorder{term: tm}
			b := r.collect()
			is.Equal(b.writeAheadZone, "z") // All executors of the zone have reported.
			r.markRecorded(b)
			is.Equal(len(sess.orders), tt.after)
			is.Equal(len(tm.heldStarts), 0)
		})
	}
}

// A zone with an executor that hasn't reported may have runs that aren't recorded, so the
// write doesn't declare the zone as fully recorded.
func TestUnknownExecutorOfOwnZone(t *testing.T) {
	is := is.New(t)
	tm, _ := newTerm()
	tm.writeAheadZone = "z"
	tm.plan.AllExecutorsListed(tm.owner.clock.Now())
	tm.plan.SetExecutor(model.Executor{ID: "e", Service: "s", Zone: "z"})
	is.Equal((&recorder{term: tm}).collect().writeAheadZone, "")
}

// While writes aren't confirmed, held starts are placed on executors of other zones instead.
// Nothing is held back if all hosts are in one zone.
func TestWorkAvoidsZoneWithoutRecords(t *testing.T) {
	job := &model.Job{ID: "0123456789abcdef", Queue: "q", Steps: []model.Step{{Count: 1, Need: model.Amount{CPU: 1}}}}
	tests := map[string]struct {
		zone   string // zone of the other host
		passed time.Duration
		held   int
		orders map[string]int // number of queued orders by executor, which is named after its zone
	}{
		"confirmed":     {zone: "y", held: 1, orders: map[string]int{}},
		"not confirmed": {zone: "y", passed: minAuthority + time.Millisecond, orders: map[string]int{"y": 1}},
		"one zone":      {zone: "z", orders: map[string]int{"z": 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
			tm, b := newTerm()
			putRow(t, b, board.HostKey("other"), board.Host{Name: "other", Zone: tt.zone})
			tm.owner.clock, tm.owner.zone, tm.ctx = clock, "z", context.Background()
			tm.owner.connect = func(string, string) Executor { return &lookExecutor{} }
			tm.owner.boardFollower, tm.heldStarts, tm.writeAheadZone = unconfirmedBoard{}, make(map[string][]plan.Start), tm.owner.writeAheadZone()
			tm.confirm(clock.Boot(), minAuthority)
			config := model.NewConfig(1, []model.Queue{{Name: "q", Service: "s", Attempts: 1}}, []model.Service{{Name: "s"}}, nil)
			tm.plan = plan.New(config)
			decide := func() {
				tm.avoidUnconfirmedZone(clock.Now())
				for _, s := range tm.plan.Decide(clock.Now()).Starts {
					if sess := tm.sessions[s.Executor]; !tm.holdStart(sess, s) {
						sess.enqueue(order{start: &s})
					}
				}
			}
			add := func(id string) {
				sess := newSession(tm, model.Executor{ID: id, Service: "s", Zone: id, Room: model.Amount{CPU: 9}})
				tm.sessions[id] = sess
				tm.plan.SetExecutor(sess.info)
				is.True(sess.handleReport(pollAt(sess, clock.Now(), clock.Boot()), &platform.Report{Clock: time.Hour}))
			}
			add("z")
			tm.plan.AllExecutorsListed(tm.owner.clock.Now())
			tm.plan.AddJob(clock.Now(), job, nil)
			decide()
			add("y")
			clock.Advance(tt.passed)
			decide()
			is.Equal(len(tm.heldStarts), tt.held)
			for id, sess := range tm.sessions {
				is.Equal(len(sess.orders), tt.orders[id])
			}
		})
	}
}
