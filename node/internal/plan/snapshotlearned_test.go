package plan

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// handOver replaces the state by one that is restored from its snapshot, of which the receiver knows
// that it is age old at most.
func (f *fixture) handOver(t *testing.T, now time.Time, age time.Duration) {
	t.Helper()
	data, err := f.state.Snapshot(now)
	if err != nil {
		t.Fatal(err)
	}
	old := f.state
	f.state = New(f.config, WithStopTime(old.maxStopTime))
	f.state.SetAdviceSlots(old.adviceSlots)
	if err := f.state.Restore(now, age, data, func(id string) *model.Job { return old.jobs[id].spec }); err != nil {
		t.Fatal(err)
	}
}

// Each owner moved a task that its predecessor had just moved, so that the task didn't get on while
// zones were evacuated and hosts restarted in turn.
func TestTaskStaysAfterMoveDespiteHandOvers(t *testing.T) {
	is := is.New(t)
	c := newCell(0.01)
	c.addZone("y", 1, 1)
	c.addZone("z", 1, 1)
	c.submit("j", "urgent", model.Step{Count: 1, Checkpoints: true, Estimate: time.Hour})
	for range 20 {
		for _, zone := range []string{"z", "y"} {
			c.state.SetEvacuated([]string{zone})
			c.play(20)
			saved := c.state.jobs["j"].occurs[0].stages[0].savedAt(0)
			c.handOver(t, c.now, 0)
			is.Equal(c.state.jobs["j"].occurs[0].stages[0].savedAt(0), saved) // A move costs the work since then.
		}
	}
	is.True(len(c.moves) >= 2 && len(c.moves) <= 4) // 80 s allow for moves after 10, 30 and 70 s.
}

// A successor moved runs to the executor that its predecessor had found for a run that was still stopping.
func TestSuccessorKnowsClaimsOfMoves(t *testing.T) {
	is := is.New(t)
	c := newCell(0.01)
	c.addZone("y", 1, 2)
	c.submit("j", "urgent", model.Step{Count: 2, Checkpoints: true, Estimate: time.Hour})
	c.play(3)
	c.addZone("z", 1, 1)
	c.state.SetEvacuated([]string{"y"})
	c.now = c.now.Add(tick)
	is.Equal(len(c.state.Decide(c.now).Moves), 1)
	c.handOver(t, c.now, 0)
	c.state.SetEvacuated([]string{"y"})
	c.now = c.now.Add(tick)
	is.Equal(len(c.state.Decide(c.now).Moves), 0)
}

// Tickets counted from the receipt of a state, so that starts were refused for expired ones, and what the
// adviser had been asked ahead was asked again.
func TestTicketsExpireDuringTransfer(t *testing.T) {
	const valid = 1500 * time.Millisecond
	tests := map[string]struct {
		age    time.Duration
		starts int
	}{
		"fast":            {age: 100 * time.Millisecond, starts: 1},
		"slow":            {age: valid - ticketMargin - 300*time.Millisecond},
		"of unknown time": {age: 24 * time.Hour},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture()
			f.addBorn("a", epoch)
			f.state.SetAdviceSlots(4)
			now, due := epoch.Add(500*time.Millisecond), epoch.Add(800*time.Millisecond)
			f.state.AddJob(epoch, &model.Job{ID: "j", Queue: "advised", Team: "t", Steps: []model.Step{{Count: 1, Need: oneCore}}, Times: 2, First: due, Every: time.Hour, Sent: epoch}, nil)
			asked := f.state.Decide(now).AdviceRequests
			is.Equal(len(asked), 1)
			f.state.AdviceReceived(now, asked[0], map[string]string{"a": "ticket"}, valid)
			f.handOver(t, now, tt.age)
			orders := f.state.Decide(due)
			is.Equal(len(orders.Starts), tt.starts)
			is.Equal(len(orders.AdviceRequests), 1-tt.starts)
			for _, q := range orders.AdviceRequests {
				is.Equal(q.Executors, []string{"a"}) // It is still known to be allowed.
			}
		})
	}
}

// A successor didn't know how many slots short requests need, how fast capacity becomes free, that an
// executor was about to be cold, and that work in an earlier life of an executor had begun, which then
// wasn't counted as lost. It takes over no value that can't be right.
func TestSuccessorKnowsWhatWasLearned(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a")
	f.state.SetAdviceSlots(30)
	f.state.AddJob(epoch, f.job("j", model.Step{Count: 1, Need: oneCore}), nil)
	starts := f.state.Decide(epoch).Starts
	f.confirm(epoch, starts)
	f.state.Reported(epoch.Add(time.Second), "a", Report{RequestedAt: epoch.Add(time.Second), Runs: []model.Run{{Task: starts[0].Task, Number: starts[0].Number}}})
	now := epoch.Add(2 * time.Second)
	f.state.shortRequestAt = now
	f.state.shortRequests.note(12, now)
	f.state.turnover = turnover{freed: 100, part: 3, observed: 4 * time.Second, updatedAt: now.Add(-time.Second)}
	f.state.NewIncarnation(now, "a")
	f.state.SetExecutor(model.Executor{ID: "a", Service: "s", Room: fullExecutor, Cold: time.Minute})
	turnover := f.state.turnover
	f.handOver(t, now, 0)
	is.Equal(f.state.reservedSlots(now), 12)
	is.Equal(f.state.turnover, turnover)
	f.state.RemoveRuns("a")
	is.True(f.state.wasted[WastedLost] > 0)
	f.state.Decide(now)
	is.Equal(f.state.executors["a"].coldUntil, now.Add(time.Minute))

	data, err := cbor.Marshal(&stateFormat{
		Version: snapshotVersion, ShortRequests: &peakFormat{Highest: math.NaN(), At: 1}, Turnover: &turnoverFormat{Part: math.Inf(1), Updated: 1},
		Moves: []moveFormat{{Run: stopFormat{Job: "none", Executor: "none"}, Target: "none"}},
	})
	is.NoErr(err)
	bad := New(f.config)
	is.NoErr(bad.Restore(now, 0, data, nil))
	is.Equal(bad.shortRequests, peak{})
	is.Equal(len(bad.pendingMoves), 0)
	is.True(bad.turnover.share() < 1)
}
