package owner

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/config"
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
)

// operatorsAt is the TableFollower of a copy that was last confirmed at a time since boot.
type operatorsAt time.Duration

func (o operatorsAt) SyncedBoot() time.Duration { return time.Duration(o) }

// An owner that can't read the operators' table, or a new owner whose copy is old, could start
// work in a zone that was evacuated long ago. It starts nothing, also if the store confirms its
// ownership. In an outage of the store, in which no row is written, starts go on as before, and
// they do without a bound and with one that is shorter than the time between two polls.
func TestOutdatedEvacuationsHoldStarts(t *testing.T) {
	const bound = 5 * time.Second
	tests := map[string]struct {
		bound  time.Duration
		lag    time.Duration // from the confirmation of the table to that of ownership
		outage time.Duration // since ownership was confirmed; all executors have responded
		starts bool
	}{
		"confirmed together":     {bound: bound, starts: true},
		"half of the bound":      {bound: bound, lag: bound / 2, starts: true},
		"table can't be read":    {bound: bound, lag: bound/2 + time.Millisecond},
		"table never read":       {bound: bound, lag: time.Hour},
		"store is away from all": {bound: bound, lag: time.Second, outage: time.Minute, starts: true},
		"old copy in an outage":  {bound: bound, lag: bound, outage: time.Minute},
		"no bound":               {lag: time.Hour, starts: true},
		"short bound":            {bound: 100 * time.Millisecond, lag: minOperatorsLag, starts: true},
		"short bound, old copy":  {bound: 100 * time.Millisecond, lag: minOperatorsLag + time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
			tm, _ := newTerm()
			tm.owner.clock, tm.owner.boardFollower, tm.ctx = clock, unconfirmedBoard{}, context.Background()
			tm.owner.connect = func(string, string) Executor { return &lookExecutor{} }
			tm.bounds.Evacuate = tt.bound
			tm.confirm(clock.Boot(), minAuthority)
			tm.owner.operators = operatorsAt(clock.Boot() - tt.lag)
			sess := newSession(tm, model.Executor{ID: "e"})
			tm.sessions["e"] = sess
			clock.Advance(tt.outage)
			sess.lastResponse = clock.Boot()
			is.Equal(tm.mayStart(), tt.starts)
		})
	}
}

// evacuate writes or deletes the row of a zone in a host's copy of the operators' table.
func evacuate(o *Owner, zone string, deleted bool) {
	row := platform.Row{Key: platform.EvacuationKey(zone), Value: []byte("{}"), Deleted: deleted}
	o.configs.(*config.Current).Change([]platform.Row{row})
}

// An order can wait in an executor's queue while a row is written. The start must not be sent
// then, and the task starts elsewhere; a run whose start got no answer may still begin and must
// keep its task from starting again. Once the row is deleted, the executor gets work.
func TestQueuedStartInEvacuatedZone(t *testing.T) {
	tests := map[string]struct {
		evacuated       string // zone, after the decision
		lost            bool   // the start was sent before, and got no answer
		sent, elsewhere int    // starts that are sent, and decided for the other executor
	}{
		"another zone":                 {evacuated: "z", sent: 1},
		"the executor's zone":          {evacuated: "y", elsewhere: 1},
		"start sent before, no answer": {evacuated: "y", lost: true, sent: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			clock := timer.New(timer.WithManual(time.Unix(1_800_000_000, 0)))
			tm, _ := newTerm()
			executor := &startCounter{lost: tt.lost}
			tm.owner.clock, tm.owner.boardFollower, tm.ctx = clock, unconfirmedBoard{}, context.Background()
			tm.owner.connect = func(string, string) Executor { return executor }
			tm.bounds.Lease = leaseDuration
			tm.confirm(clock.Boot(), minAuthority)
			tm.plan = plan.New(model.NewConfig(1, []model.Queue{{Name: "q", Service: "s", Attempts: 1}}, []model.Service{{Name: "s"}}, nil))
			add := func(id, zone string) *session {
				sess := newSession(tm, model.Executor{ID: id, Zone: zone, Service: "s", Room: model.Amount{CPU: 9}})
				tm.sessions[id] = sess
				tm.plan.SetExecutor(sess.info)
				tm.plan.AllExecutorsListed(clock.Now())
				is.True(sess.handleReport(pollAt(sess, clock.Now(), clock.Boot()), &platform.Report{Clock: time.Hour}))
				return sess
			}
			addJob := func(id string, tasks int) {
				tm.plan.AddJob(clock.Now(), &model.Job{ID: id, Queue: "q", Steps: []model.Step{{Count: tasks, Need: model.Amount{CPU: 1}}}}, nil)
			}
			decide := func() []plan.Start { tm.applyEvacuations(); return tm.plan.Decide(clock.Now()).Starts }
			e := add("e", "y")
			addJob("0123456789abcdef", 1)
			starts := decide()
			is.Equal(len(starts), 1)
			if tt.lost {
				is.True(e.sendStart(&starts[0]))
				seen := &platform.Report{Clock: 2 * time.Hour, Runs: []model.Run{{Task: starts[0].Task, Number: starts[0].Number}}}
				is.True(e.handleReport(pollAt(e, clock.Now(), clock.Boot()), seen))
			}
			evacuate(tm.owner, tt.evacuated, false)
			if !tt.lost {
				is.True(!e.sendStart(&starts[0]))
			}
			is.Equal(executor.starts, tt.sent)
			is.Equal(tm.owner.metrics.refused[plan.RefusedEvacuated].Count(), int64(1-tt.sent))
			is.Equal(len(decide()), 0) // The executor's zone is excluded, or the task has its run.
			add("f", "x")
			is.Equal(len(decide()), tt.elsewhere)

			evacuate(tm.owner, tt.evacuated, true)
			addJob("1123456789abcdef", 2*9) // More than f has room for.
			is.True(slices.ContainsFunc(decide(), func(s plan.Start) bool { return s.Executor == "e" }))
		})
	}
}

// A row for a zone without executors stops nothing. It is counted once while that is so.
func TestEvacuationOfUnknownZone(t *testing.T) {
	is := is.New(t)
	tm, _ := newTerm()
	tm.ctx = context.Background()
	tm.owner.connect = func(string, string) Executor { return &lookExecutor{} }
	tm.sessions["e"] = newSession(tm, model.Executor{ID: "e", Zone: "y"})
	unknown := func() int64 { tm.noteUnknownZones(); return tm.owner.metrics.unknownZones.Count() }
	evacuate(tm.owner, "y", false)
	evacuate(tm.owner, "typo", false)
	tm.applyEvacuations()
	is.Equal(unknown(), int64(0)) // The executors aren't known yet.
	tm.entriesLoaded = true
	is.Equal(unknown(), int64(1))
	is.Equal(unknown(), int64(1))
	is.True(tm.owner.evacuating("y"))
}
