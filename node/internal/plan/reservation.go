package plan

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// Large tasks of jobs that a floor serves never start on a full service, since smaller ones take what a
// single end frees. So as much as such a task needs is kept on an executor until enough has ended there.
// Tasks that are expected to end before that may still start there.

const (
	// reservedDivisor bounds the executors of a service that are reserved at a time: one in
	// reservedDivisor, and at least minReserved.
	reservedDivisor = 4
	minReserved     = 2
	// largeTaskDivisor is the part of an executor from which a task is large for it, as a divisor.
	largeTaskDivisor = 4
)

// reservation is an executor that is kept for a task of a stage.
type reservation struct {
	stage    *stage
	executor *executor
	runs     int           // of the stage on the executor when it was reserved
	wait     time.Duration // until the task is expected to fit, at the last sweep
}

// free returns the free capacity of the executor for a task of another stage. A task that is expected to
// end before the reserved one fits may use all of it.
func (r *reservation) free(st *stage) model.Amount {
	free := r.executor.free()
	if st == r.stage || st.spec.Estimate > 0 && st.spec.Estimate <= r.wait && !st.spec.Lasting {
		return free
	}
	return free.Sub(r.stage.spec.Room())
}

// mayUseReserved reports whether tasks of a stage may start on reserved capacity.
func (s *State) mayUseReserved(st *stage) bool {
	return st.occur.job.floored || st.spec.Estimate > 0 && st.spec.Estimate <= s.longestReservation
}

// reserve ends reservations that aren't needed any more, and makes those for at most one stage of a
// service a sweep, since more would take long to find.
func (s *State) reserve(now time.Time) {
	count, held := make(map[string]int), make(map[*stage]int)
	s.reservations = slices.DeleteFunc(s.reservations, func(r *reservation) bool {
		e, st := r.executor, r.stage
		r.wait = s.timeToFit(e, st, now)
		if s.executors[e.info.ID] == e && s.schedulable(e, now) && s.waitsFloored(st) && st.waiting > held[st] && e.runsOf(st) == r.runs {
			held[st]++
			count[st.occur.job.queue.Service]++
			return false
		}
		e.reservation = nil
		return true
	})
	for _, t := range s.teams {
		t.reservedFor = nil
	}
	tried := make(map[string]bool)
	for _, c := range s.flooredCandidates() {
		service, t := c.job.queue.Service, s.team(c.job.spec.Team)
		c.job.unreserved = false
		for _, o := range c.job.occurs {
			for _, st := range o.stages {
				if st.waiting <= held[st] || st.spec.Gang || st.spec.Filler || !o.ready(st) {
					continue
				}
				if !st.lastBlocked.IsZero() && st.blockCause == blockedByLimit {
					if t.reservedFor == nil {
						t.reservedFor = st
					}
					continue
				}
				missing := st.waiting - held[st]
				if !tried[service] {
					tried[service] = true
					missing = s.reserveExecutors(st, missing, count[service], now)
				}
				c.job.unreserved = c.job.unreserved || missing > 0
			}
		}
	}
	s.longestReservation = 0
	for _, r := range s.reservations {
		s.longestReservation = max(s.longestReservation, r.wait)
	}
}

// waitsFloored reports whether a stage waits whose job a floor serves.
func (s *State) waitsFloored(st *stage) bool {
	j := st.occur.job
	return j.floored && !j.phase.Final() && s.jobs[j.spec.ID] == j && st.waiting > 0
}

// flooredCandidates returns the jobs that floors serve, the most urgent first.
func (s *State) flooredCandidates() []*candidate {
	var out []*candidate
	for i := range s.candidates {
		if c := &s.candidates[i]; c.job.floored {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *candidate) int { return cmp.Or(cmp.Compare(a.rank, b.rank), compareSlacks(a, b)) })
	return out
}

// executorWait is an executor with the time until a task is expected to fit there.
type executorWait struct {
	executor *executor
	wait     time.Duration
}

// reserveExecutors reserves executors for n tasks of a stage: those on which they are expected to fit
// first and for which they are large. It returns the number of tasks for which none is left. taken
// executors of the service are reserved already.
func (s *State) reserveExecutors(st *stage, n, taken int, now time.Time) int {
	j, perTask, total := st.occur.job, st.spec.Room(), 0
	var waits []executorWait
	for _, e := range s.executors {
		if e.info.Service != j.queue.Service || !s.schedulable(e, now) {
			continue
		}
		total++
		if e.idleCapacityFor(st) == 0 || st.spec.Label != "" && !e.info.Has(st.spec.Label) {
			continue
		}
		if perTask.CPU*largeTaskDivisor < e.info.Room.CPU {
			return 0 // It finds capacity there in its turn.
		}
		if t, answered := st.advice.ticketFor(e); e.reservation == nil && (!s.advised(j, now) || answered && t.allowed) {
			waits = append(waits, executorWait{executor: e, wait: s.timeToFit(e, st, now)})
		}
	}
	slices.SortFunc(waits, func(a, b executorWait) int {
		return cmp.Or(cmp.Compare(a.wait, b.wait), cmp.Compare(a.executor.info.ID, b.executor.info.ID))
	})
	for _, w := range waits[:max(0, min(n, len(waits), max(minReserved, total/reservedDivisor)-taken))] {
		w.executor.reservation = &reservation{stage: st, executor: w.executor, runs: w.executor.runsOf(st), wait: w.wait}
		s.reservations = append(s.reservations, w.executor.reservation)
		n--
	}
	return n
}

// timeToFit returns how long it is expected to take until a task of the stage fits on an executor if
// nothing starts there.
func (s *State) timeToFit(e *executor, st *stage, now time.Time) time.Duration {
	free, perTask := e.free(), st.spec.Room()
	if perTask.Fits(free) {
		return 0
	}
	runs := make([]endingRun, 0, len(e.runs))
	for _, r := range e.runs {
		if !r.stage.spec.Lasting {
			runs = append(runs, endingRun{run: r, end: s.expectedEnd(r)})
		}
	}
	slices.SortFunc(runs, func(a, b endingRun) int { return a.end.Compare(b.end) })
	for _, x := range runs {
		if free = free.Add(x.run.reserved); perTask.Fits(free) {
			return max(0, x.end.Sub(now))
		}
	}
	return distantFuture
}

// endingRun is a run with its expected end.
type endingRun struct {
	run *run
	end time.Time
}
