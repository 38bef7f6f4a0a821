package plan

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/model"
)

// sendsMore is the load of a team that sends five times its usual for 6 s, beside others.
func sendsMore(marks bool, seed uint64) outcome {
	r := newOverloadReplay(20, marks, seed)
	return r.play(14*time.Second, func(at time.Duration) {
		usual := 2.0 // Core-seconds each 20 ms: 100 of 160 cores.
		if at > 3*time.Second && at < 9*time.Second {
			usual *= 5
		}
		r.submitMix("sender", usual)
		r.submitMix("other", 4)
	})
}

// largeBurst is the load of a burst of large jobs over a service in full use.
func largeBurst(marks bool, seed uint64) outcome {
	r := newOverloadReplay(10, marks, seed)
	return r.play(14*time.Second, func(at time.Duration) {
		r.submitMix("other", 4.5) // 225 of 320 cores.
		if at == 4*time.Second {
			for range 30 {
				r.submit("bulk", "other", 24, 4, 2*time.Second)
			}
		}
	})
}

// manySizes is a load of 1.7 times the capacity, of which the small jobs alone would fill most.
func manySizes(marks bool, seed uint64) outcome {
	r := newOverloadReplay(10, marks, seed)
	return r.play(30*time.Second, func(time.Duration) {
		for r.owed["other"] += 11; r.owed["other"] > 0; {
			run := time.Duration(1000+r.rand.IntN(1000)) * time.Millisecond
			switch k := r.rand.IntN(20); {
			case k < 2:
				r.owed["other"] -= r.submit("bulk", "other", 2, 20, run)
			case k < 6:
				r.owed["other"] -= r.submit("bulk", "other", 3, 4, run)
			default:
				r.owed["other"] -= r.submit("bulk", "other", 2, 2, run)
			}
		}
	})
}

// In an overload, the order by latest starts spent capacity on jobs that were late in spite of it, and
// jobs that are worth little for their work kept others from being in time.
func TestOverloadIsServedByValue(t *testing.T) {
	for name, play := range map[string]func(bool, uint64) outcome{"a team sends five times its usual": sendsMore, "a burst of large jobs": largeBurst} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var without, with outcome
			for seed := range uint64(5) {
				without.add(play(false, seed))
				with.add(play(true, seed))
			}
			t.Log("without marks:", without)
			t.Log("with marks:", with)
			is.Equal(with.open, 0) // All jobs have ended.
			is.True(with.inTime > without.inTime)
			is.True(with.worth/with.value > 1.01*without.worth/without.value)
			is.True(with.flaps < with.jobs/100)
		})
	}
}

// Large jobs were hardly served in an overload, since small ones took what each end freed.
func TestLargeJobsKeepTheirFloor(t *testing.T) {
	is := is.New(t)
	var without, with outcome
	for seed := range uint64(2) {
		without.add(manySizes(false, seed))
		with.add(manySizes(true, seed))
	}
	t.Log("without marks:", without)
	t.Log("with marks:", with)
	is.Equal(with.open, 0)
	share := func(o outcome, c sizeClass) float64 {
		return float64(o.sizedIn[c]) / float64(o.sized[c]) * float64(o.jobs) / float64(o.inTime)
	}
	is.True(share(without, largestSize) < floorShare) // Otherwise the load shows nothing.
	is.True(share(with, largestSize) >= floorShare)
	is.True(share(with, largeSize) >= floorShare)
}

// An executor that is reserved for a job was lost to all others once the job was cancelled.
func TestReservationEndsWithItsJob(t *testing.T) {
	is := is.New(t)
	r := newOverloadReplay(10, true, 1)
	for range 1000 {
		for r.owed["other"] += 11; r.owed["other"] > 0; {
			r.owed["other"] -= r.submit("bulk", "other", 2, int64(2+18*(r.rand.IntN(10)/9)), 1500*time.Millisecond)
		}
		if r.step(); len(r.state.reservations) > 0 {
			break
		}
	}
	is.True(len(r.state.reservations) > 0)
	for id := range r.state.jobs {
		r.state.Cancel(r.now, id)
	}
	r.now = r.now.Add(sweepInterval)
	r.step()
	is.Equal(len(r.state.reservations), 0)
	for _, e := range r.state.executors {
		is.True(e.reservation == nil)
	}
}

// A large job that a floor had chosen counted as chosen for ever once it was cancelled or failed, and the
// floor then chose too few others.
func TestChosenJobsThatEndAreReleased(t *testing.T) {
	is := is.New(t)
	r := newOverloadReplay(10, true, 1)
	chosen := func() int {
		n := 0
		for _, f := range r.state.floors {
			for class := range sizeClasses {
				n += f.chosen[class]
			}
		}
		return n
	}
	for range 1000 {
		for r.owed["other"] += 11; r.owed["other"] > 0; {
			r.owed["other"] -= r.submit("bulk", "other", 2, int64(2+18*(r.rand.IntN(10)/9)), 1500*time.Millisecond)
		}
		if r.step(); chosen() > 0 {
			break
		}
	}
	is.True(chosen() > 0)
	for id := range r.state.jobs {
		r.state.Cancel(r.now, id)
	}
	is.Equal(chosen(), 0)
}

// Where all work fits, or has no objective, decisions are the same as without marks.
func TestNothingIsMarkedWithoutOverload(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain, marked := newOverloadReplay(3, false, 1), newOverloadReplay(3, true, 1)
		aim, most := rapid.Bool().Draw(t, "objective"), int64(96)
		for _, r := range []*overloadReplay{plain, marked} {
			if !aim {
				q := r.state.config.Queues["bulk"]
				q.Stretch, q.Slack, most = 0, 0, 500
				r.state.config.Queues["bulk"] = q
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			used := int64(0)
			for _, j := range plain.state.jobs {
				if !j.phase.Final() {
					used += int64(j.spec.Steps[0].Count) * j.spec.Steps[0].Need.CPU / 1000
				}
			}
			n, cores := rapid.IntRange(1, 4).Draw(t, "tasks"), rapid.Int64Range(1, 16).Draw(t, "cores")
			run := time.Duration(rapid.IntRange(1, 900).Draw(t, "run")) * time.Millisecond
			for _, r := range []*overloadReplay{plain, marked} {
				if used+int64(n)*cores <= most {
					r.submit("bulk", "other", n, cores, run)
				}
				r.step()
			}
			if len(plain.ends) != len(marked.ends) || marked.state.Deferred() > 0 {
				t.Fatalf("%d and %d runs, %d jobs deferred", len(plain.ends), len(marked.ends), marked.state.Deferred())
			}
			for o := range plain.ends {
				if _, ok := marked.ends[o]; !ok {
					t.Fatalf("%v isn't started with marks", o)
				}
			}
		}
	})
}

// A new owner knows neither the runs of its executors nor how fast work is done. It marked jobs that
// the executors could do in time.
func TestNewOwnerMarksNothing(t *testing.T) {
	is := is.New(t)
	f := newFixture(WithSettleDeadline(epoch.Add(settleTime)))
	for i := range 4 {
		f.addExecutor(fmt.Sprintf("e%d", i))
	}
	for i := range 40 { // 320 of 128 cores, for half a second, due in 1.5 s.
		f.state.AddJob(epoch, f.bulk(fmt.Sprintf("j%d", i), "t", model.Step{Count: 8, Need: oneCore, Estimate: 500 * time.Millisecond}), &model.Progress{})
	}
	f.state.Decide(epoch)
	is.Equal(f.state.Deferred(), 0) // Its executors haven't reported.
	for i := range 4 {
		f.state.Reported(epoch, fmt.Sprintf("e%d", i), Report{RequestedAt: epoch})
	}
	f.state.AllExecutorsListed(epoch)
	f.state.Decide(epoch.Add(sweepInterval))
	f.state.Decide(epoch.Add(2 * sweepInterval))
	is.Equal(len(f.state.candidates), 24) // The others run.
	is.Equal(f.state.Deferred(), 0)
}

// The order in which jobs are left out, with one core and a second until the latest start.
func TestLeastWorthIsDeferredFirst(t *testing.T) {
	type waiting struct {
		size     float64
		priority int
		fixed    bool
		prior    mark
		mark     mark // that is expected
	}
	tests := map[string]struct{ jobs []waiting }{
		"all are in time":                     {jobs: []waiting{{size: 0.4}, {size: 0.55}}},
		"the larger job is worth less a core": {jobs: []waiting{{size: 0.4}, {size: 0.9, mark: markLate}}},
		"a worse priority goes first":         {jobs: []waiting{{size: 0.2, priority: 1, mark: markLate}, {size: 0.9}}},
		"most of it has run":                  {jobs: []waiting{{size: 0.9, fixed: true}, {size: 0.4, mark: markLate}}},
		"there is no clear room to come back": {jobs: []waiting{{size: 0.4, prior: markLate, mark: markLate}, {size: 0.55}}},
		"there is clear room to come back":    {jobs: []waiting{{size: 0.4, prior: markLate}, {size: 0.45}}},
		"not even late":                       {jobs: []waiting{{size: 1.5, mark: markLate}, {size: 2.5, mark: markDeferred}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := &overload{rate: 1}
			sizes := &jobSizes{ratio: 1, last: []float64{1}, sum: 1}
			for i, w := range tt.jobs {
				j := &job{size: w.size, spec: &model.Job{ID: fmt.Sprint(i)}, queue: model.Queue{Slack: 500 * time.Millisecond}}
				o.add(&candidate{
					job: j, sizes: sizes, slack: time.Second, cpu: 1000, ready: w.size, work: w.size, value: baseValue + (1-baseValue)*w.size,
					priority: w.priority, fixed: w.fixed, prior: w.prior,
				})
			}
			o.mark()
			for i, w := range tt.jobs {
				is.Equal(o.jobs[i].mark, w.mark)
			}
		})
	}
}
