package plan

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// overloadReplay replays submissions against a State without a network. Runs take what their
// executors would need, and end on time.
type overloadReplay struct {
	state    *State
	now      time.Time
	rand     *rand.Rand
	ends     map[Start]time.Time
	count    int
	flaps    int // times that a job came back and was deferred again
	returned map[string]bool
	owed     map[string]float64 // core-seconds to be submitted, by team
}

// newOverloadReplay returns a replay on so many executors of 32 cores. Team "sender" has a limit of 160
// cores.
func newOverloadReplay(executors int, marks bool, seed uint64) *overloadReplay {
	teams := []model.Team{{Name: "sender", Limit: model.Amount{CPU: 160_000}}, {Name: "other"}}
	r := &overloadReplay{
		state: New(model.NewConfig(1, queues, []model.Service{{Name: "s"}}, teams)), now: epoch, rand: rand.New(rand.NewPCG(seed, 4)),
		ends: make(map[Start]time.Time), returned: make(map[string]bool), owed: make(map[string]float64),
	}
	r.state.keepOrder = !marks
	for i := range executors {
		id := fmt.Sprintf("e%03d", i)
		r.state.SetExecutor(model.Executor{ID: id, Service: "s", Address: id, Room: fullExecutor, Kind: "a", Rack: "r1"})
		r.state.Reported(epoch, id, Report{RequestedAt: epoch})
	}
	r.state.AllExecutorsListed(epoch)
	return r
}

// submit adds a job of n tasks and returns its core-seconds.
func (r *overloadReplay) submit(queue, team string, n int, cores int64, run time.Duration) float64 {
	r.count++
	step := model.Step{Count: n, Need: model.Amount{CPU: 1000 * cores, Memory: 100}, Estimate: run}
	r.state.AddJob(r.now, &model.Job{ID: fmt.Sprintf("j%05d", r.count), Queue: queue, Team: team, Steps: []model.Step{step}, Sent: r.now.Add(time.Duration(r.count) * time.Nanosecond)}, nil) // No two are equal in the order.
	return float64(n) * float64(cores) * run.Seconds()
}

// submitMix adds jobs of mixed sizes that are worth about so many core-seconds.
func (r *overloadReplay) submitMix(team string, coreSeconds float64) {
	r.owed[team] += coreSeconds
	for r.owed[team] > 0 {
		queue := []string{"urgent", "bulk", "bulk"}[r.rand.IntN(3)]
		n, cores, run := 1+r.rand.IntN(4), int64(1+r.rand.IntN(4)), time.Duration(400+r.rand.IntN(1600))*time.Millisecond
		if r.rand.IntN(10) == 0 {
			n, cores = 12+r.rand.IntN(30), int64(2+r.rand.IntN(5))
		}
		r.owed[team] -= r.submit(queue, team, n, cores, run)
	}
}

// step makes a decision, and ends the runs that are due.
func (r *overloadReplay) step() {
	due := slices.Collect(maps.Keys(r.ends))
	slices.SortFunc(due, func(a, b Start) int {
		return cmp.Or(r.ends[a].Compare(r.ends[b]), cmp.Compare(a.Task.Job, b.Task.Job), a.Task.Index-b.Task.Index)
	})
	for _, o := range due {
		if !r.ends[o].After(r.now) {
			delete(r.ends, o)
			r.state.Reported(r.now, o.Executor, Report{RequestedAt: r.now, More: true, Ends: []model.End{{Seq: 1, Task: o.Task, Number: o.Number, Outcome: model.RunDone}}})
		}
	}
	before := make(map[string]mark)
	for id, j := range r.state.jobs {
		before[id] = j.mark
	}
	for _, o := range r.state.Decide(r.now).Starts {
		r.state.Started(r.now, o)
		r.ends[o] = r.now.Add(r.state.jobs[o.Task.Job].spec.Steps[o.Task.Step].Estimate)
	}
	for id, j := range r.state.jobs {
		switch {
		case before[id] == markDeferred && j.mark == unmarked:
			r.returned[id] = true
		case before[id] == unmarked && j.mark == markDeferred && r.returned[id]:
			r.flaps++
		}
	}
	r.now = r.now.Add(20 * time.Millisecond)
}

// outcome is what came of the jobs of a replay.
type outcome struct {
	jobs, inTime, late, open int
	worth, value             float64          // of the jobs that ended in time, and of all
	sized, sizedIn           [sizeClasses]int // jobs by size, and those in time
	flaps                    int
}

// play submits and decides for so long, and then goes on until all jobs have ended.
func (r *overloadReplay) play(d time.Duration, submit func(at time.Duration)) outcome {
	var out outcome
	jobs, ended := make(map[string]*job), make(map[string]time.Time)
	for r.now.Sub(epoch) < d || len(ended) < len(jobs) && r.now.Sub(epoch) < 10*d {
		if at := r.now.Sub(epoch); at < d {
			submit(at)
		}
		r.step()
		for id, j := range r.state.jobs {
			jobs[id] = j
			if _, ok := ended[id]; j.phase == model.Done && !ok {
				ended[id] = r.now
			}
		}
	}
	for id, j := range jobs {
		at, ok := ended[id]
		value, class := baseValue+(1-baseValue)*j.size/j.sizes.mean(), j.sizes.class(j.size)
		out.jobs++
		out.value += value
		out.sized[class]++
		switch took := at.Sub(j.spec.Sent); {
		case !ok:
			out.open++
		case took <= j.objective():
			out.inTime++
			out.sizedIn[class]++
			out.worth += value
		case took <= lateFactor*j.objective():
			out.late++
			out.worth += lateWorth * value
		}
	}
	out.flaps = r.flaps
	return out
}

// add adds the outcome of another replay.
func (o *outcome) add(p outcome) {
	o.jobs, o.inTime, o.late, o.open, o.flaps = o.jobs+p.jobs, o.inTime+p.inTime, o.late+p.late, o.open+p.open, o.flaps+p.flaps
	o.worth, o.value = o.worth+p.worth, o.value+p.value
	for k := range sizeClasses {
		o.sized[k], o.sizedIn[k] = o.sized[k]+p.sized[k], o.sizedIn[k]+p.sizedIn[k]
	}
}

// String returns the shares that were served.
func (o outcome) String() string {
	return fmt.Sprintf("%d jobs, %d in time, %d late, value %.3f, by size %d of %d, %d returned and deferred again", o.jobs, o.inTime, o.late, o.worth/o.value, o.sizedIn, o.sized, o.flaps)
}
