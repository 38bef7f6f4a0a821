package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/model"
)

// An executor that doesn't answer a successor and that was closed blocks only the
// tasks that were recorded on it, since all its runs are recorded.
func TestClosedExecutorHoldsBackOnlyItsTasks(t *testing.T) {
	runOnSilent := &model.Progress{Phase: model.Running, Occurs: map[int]model.Occur{
		0: {Stages: map[int]model.Stage{0: {Runs: map[int]model.Place{0: {Executor: "silent", Number: 1}}}}},
	}}
	tests := map[string]struct {
		closed, unverified []string
		starts             []string
	}{
		"closed": {closed: []string{"silent"}, starts: []string{"other"}},
		"closed by an owner to which it hadn't reported": {closed: []string{"silent"}, unverified: []string{"silent"}},
		"open": {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(WithSettleDeadline(epoch.Add(settleTime)))
			f.state.RestoreClosed(tt.closed, tt.unverified, nil)
			f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), runOnSilent)
			f.state.AddJob(epoch, f.job("other", model.Step{Count: 1, Need: oneCore}), &model.Progress{})
			f.addExecutor("silent")
			f.addReady("a")
			var got []string
			for _, s := range f.state.Decide(epoch).Starts {
				got = append(got, s.Task.Job)
			}
			is.Equal(got, tt.starts)
		})
	}
}

// recordedState is the stored data that a successor would read.
type recordedState struct {
	closed map[string]bool
	runs   map[model.Task]model.Place
}

// apply changes the stored data by a write.
func (s *recordedState) apply(changes []Change, closed []string, differs bool) {
	for _, c := range changes {
		for task := range s.runs {
			if task.Job == c.Job {
				delete(s.runs, task)
			}
		}
		for k, o := range c.Progress.Occurs {
			for i, st := range o.Stages {
				for n, place := range st.Runs {
					s.runs[model.Task{Job: c.Job, Occur: k, Step: i, Index: n}] = place
				}
			}
		}
	}
	if differs {
		s.closed = make(map[string]bool)
		for _, id := range closed {
			s.closed[id] = true
		}
	}
}

// All runs on an executor that the record names as closed must be recorded. Executors
// stop answering and answer again, and writes are lost or succeed without an answer.
func TestClosedExecutorsRunOnlyWhatIsRecorded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []string{"a", "b", "c"}
		f := newFixture()
		f.addReady(ids...)
		checkClosedRuns(t, f, ids, "job", "silent", "answers", "write")
	})
}

// checkClosedRuns plays drawn events and checks that all runs on an executor are recorded that the stored record names
// as closed.
func checkClosedRuns(t *rapid.T, f *fixture, ids []string, events ...string) {
	stored := &recordedState{closed: make(map[string]bool), runs: make(map[model.Task]model.Place)}
	now := epoch
	for i := range rapid.IntRange(1, 60).Draw(t, "events") {
		now = now.Add(10 * time.Millisecond)
		id := rapid.SampledFrom(ids).Draw(t, "executor")
		switch rapid.SampledFrom(events).Draw(t, "event") {
		case "job":
			f.state.AddJob(now, f.job(fmt.Sprintf("j%d", i), model.Step{Count: 2, Need: oneCore}), nil)
			f.confirm(now, f.state.Decide(now).Starts)
		case "silent":
			f.state.Silent(epoch, id)
		case "cut":
			for _, x := range ids {
				f.state.Silent(now, x)
			}
		case "later":
			now = now.Add(time.Duration(rapid.IntRange(1, 13).Draw(t, "seconds")) * time.Second)
			f.confirm(now, f.state.Decide(now).Starts)
		case "answers":
			rep := Report{RequestedAt: now}
			for _, r := range f.state.executors[id].runs {
				rep.Runs = append(rep.Runs, model.Run{Task: r.stage.taskID(r.index), Number: r.number})
			}
			f.state.Reported(now, id, rep)
		case "write":
			changes := f.state.Changes(1 + rapid.IntRange(0, 3).Draw(t, "room"))
			var closed []string
			differs := false
			if more := f.state.Changes(len(changes) + 1); len(more) == len(changes) { // Nothing else is to be recorded.
				if closed, _, differs = f.state.Closed(); differs {
					f.state.RecordingClosed(closed)
				}
			}
			if !rapid.Bool().Draw(t, "done") {
				continue
			}
			stored.apply(changes, closed, differs)
			if !rapid.Bool().Draw(t, "answered") {
				continue
			}
			for _, c := range changes {
				f.state.Recorded(c)
			}
			if differs {
				f.state.ClosedRecorded(closed, nil)
			}
		}
		for id := range stored.closed {
			for key := range f.state.executors[id].runs {
				if stored.runs[key.task].Executor != id {
					t.Fatalf("run %v on closed executor %s isn't recorded", key, id)
				}
			}
		}
	}
}

// A task that was recorded on an executor that left starts again once that executor's
// leases have ended. A new owner keeps the end of the leases that its predecessor
// recorded, and doesn't wait for the whole time again.
func TestLeaseEndIsInherited(t *testing.T) {
	runOnGone := &model.Progress{Phase: model.Running, Occurs: map[int]model.Occur{
		0: {Stages: map[int]model.Stage{0: {Runs: map[int]model.Place{0: {Executor: "gone", Number: 1}}}}},
	}}
	tests := map[string]struct {
		leaseEnds map[string]time.Time
		at        time.Duration
		starts    int
	}{
		"leases haven't ended":  {leaseEnds: map[string]time.Time{"gone": epoch.Add(time.Second)}, at: time.Second},
		"leases have ended":     {leaseEnds: map[string]time.Time{"gone": epoch.Add(time.Second)}, at: time.Second + time.Millisecond, starts: 1},
		"nothing was inherited": {at: time.Second + time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(WithSettleDeadline(epoch.Add(settleTime)))
			f.state.RestoreClosed([]string{"gone"}, nil, tt.leaseEnds)
			f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), runOnGone)
			f.addReady("a")
			is.New(t).Equal(len(f.state.Decide(epoch.Add(tt.at)).Starts), tt.starts)
		})
	}
}

// An owner that closes an executor that never reported to it records it as
// unverified, since the previous owner may have started runs there shortly before it
// was replaced.
func TestUnreportedExecutorIsUnverified(t *testing.T) {
	is := is.New(t)
	f := newFixture(WithSettleDeadline(epoch.Add(settleTime)))
	f.state.RestoreClosed([]string{"before"}, nil, nil)
	f.addReady("a")
	for _, id := range []string{"before", "silent"} {
		f.addExecutor(id)
	}
	for _, id := range []string{"a", "before", "silent"} {
		f.state.Silent(epoch, id)
	}
	closed, unverified, differs := f.state.Closed()
	is.Equal(closed, []string{"a", "before", "silent"})
	is.Equal(unverified, []string{"silent"})
	is.True(differs)
	f.state.ClosedRecorded(closed, unverified)
	_, _, differs = f.state.Closed()
	is.True(!differs)
	f.state.MarkRunsKnown("silent") // Nothing can run there any more.
	_, unverified, differs = f.state.Closed()
	is.Equal(len(unverified), 0)
	is.True(differs)
}

// Executors were excluded from new work for the rest of a term after a record that names
// them as closed got no answer: once they answered again, the list was as recorded last, and
// nothing was written that would have shown that the store doesn't name them.
func TestUnansweredRecordExcludesExecutors(t *testing.T) {
	tests := map[string]struct {
		before []string // closed according to the last confirmed record
	}{
		"first record":           {},
		"another one was closed": {before: []string{"b"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.addReady("a", "b")
			for _, id := range tt.before {
				f.state.Silent(epoch, id)
			}
			f.state.ClosedRecorded(tt.before, nil)
			f.state.Silent(epoch, "a")
			closed, _, differs := f.state.Closed()
			is.True(differs)
			f.state.RecordingClosed(closed) // The write gets no answer.
			f.state.Reported(epoch, "a", Report{RequestedAt: epoch})
			is.Equal(f.state.CountExclusions(epoch)[Closed], 1)
			closed, unverified, differs := f.state.Closed()
			is.Equal(closed, tt.before)
			is.True(differs) // The stored record may name "a".
			f.state.RecordingClosed(closed)
			f.state.ClosedRecorded(closed, unverified)
			is.Equal(f.state.CountExclusions(epoch)[Closed], 0)
			_, _, differs = f.state.Closed()
			is.True(!differs)
		})
	}
}

// Executors stop answering and answer again, and records are lost or succeed without an
// answer. Once all executors answer and records are confirmed, all executors get new work.
func TestExclusionEndsWithTheOutage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ids := []string{"a", "b", "c"}
		f := newFixture()
		f.addReady(ids...)
		if rapid.Bool().Draw(t, "inherited") {
			f.state.RestoreClosed([]string{"a", "c"}, []string{"c"}, nil)
		}
		record := func(confirmed bool) {
			closed, unverified, differs := f.state.Closed()
			if !differs {
				return
			}
			f.state.RecordingClosed(closed)
			if confirmed {
				f.state.ClosedRecorded(closed, unverified)
			}
		}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			id := rapid.SampledFrom(ids).Draw(t, "executor")
			switch rapid.SampledFrom([]string{"silent", "answers", "write"}).Draw(t, "event") {
			case "silent":
				f.state.Silent(epoch, id)
			case "answers":
				f.state.Reported(epoch, id, Report{RequestedAt: epoch})
			case "write":
				record(rapid.Bool().Draw(t, "confirmed"))
			}
		}
		for _, id := range ids {
			f.state.Reported(epoch, id, Report{RequestedAt: epoch})
		}
		record(true)
		if n := f.state.CountExclusions(epoch); len(n) > 0 {
			t.Fatalf("executors are excluded without a fault: %v", n)
		}
	})
}
