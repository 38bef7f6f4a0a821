package plan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// placeStage starts as many tasks of a stage as possible.
func (s *State) placeStage(st *stage, p *pool, now time.Time) {
	j := st.occur.job
	n := min(s.headroom(st, now), s.recordableRuns(st))
	if n == 0 || (st.spec.Gang && n < len(st.tasks)) {
		st.noteBlocked(blockedByLimit, now)
		return
	}
	p = p.withLabel(st.spec.Label)
	if st.spec.Gang {
		s.placeGang(st, p, now)
	} else {
		s.placeEach(st, p, n, now)
	}
	switch {
	case st.waiting == 0:
		st.lastBlocked = time.Time{}
	case n < st.waiting:
		st.noteBlocked(blockedByLimit, now)
	case s.advised(j, now) && !st.advice.requestedAt.IsZero():
		st.noteBlocked(blockedByAdvice, now)
	default:
		st.noteBlocked(blockedByCapacity, now)
	}
}

// placeEach starts up to n tasks, each on any executor with free capacity.
func (s *State) placeEach(st *stage, p *pool, n int, now time.Time) {
	selected := s.selectExecutors(st, p, n, now)
	if len(selected) < n && s.advised(st.occur.job, now) {
		s.requestAdvice(st, p, n, now)
	}
	i := 0
	for _, e := range selected {
		for i < len(st.tasks) && !st.tasks[i].startable(st.mayCopy()) {
			i++
		}
		if i == len(st.tasks) {
			return // The other tasks wait until their unwanted runs are gone.
		}
		s.start(st, i, st.nextNumber(i, s.runNumberBase), e, now)
	}
}

// fit is an executor with the number of tasks of a stage that fit on it.
type fit struct {
	executor *executor
	tasks    int
	score    float64 // lower is better
	zoneRank int     // of the executor's zone, lower is better
}

// selectExecutors returns an executor for each of up to n tasks.
func (s *State) selectExecutors(st *stage, p *pool, n int, now time.Time) []*executor {
	fits := s.findFits(st, p, now)
	if len(fits) == 0 {
		return nil
	}
	switch {
	case !st.spec.Lasting:
		fits = s.rankFits(st, fits, n)
	case !st.spec.Gang:
		return st.spreadOverZones(fits, n)
	}
	fits = firstFits(fits, n)
	out := make([]*executor, 0, n)
	for _, ft := range fits {
		for range ft.tasks {
			if len(out) == n {
				return out
			}
			out = append(out, ft.executor)
		}
	}
	return out
}

// findFits returns the executors of the pool on which tasks of a stage may start now, in no
// order. The slice is valid until the next call.
func (s *State) findFits(st *stage, p *pool, now time.Time) []fit {
	perTask := st.spec.Room()
	if !p.mayFit(perTask) || !s.mayUseReserved(st) && !p.mayFitUnreserved(perTask) {
		return nil
	}
	advised := s.advised(st.occur.job, now)
	if advised && !st.advice.usableUntil.After(now) {
		return nil
	}
	if advised && len(st.advice.tickets) < len(p.executors) {
		return s.findTicketedFits(st, p, now)
	}
	fits := s.fits[:0]
	defer func() { s.fits = fits }()
	room, reserved := false, false
	for _, e := range p.executors {
		if !perTask.Fits(e.free()) {
			continue
		}
		if r := e.reservation; r != nil && !perTask.Fits(r.free(st)) {
			reserved = true
			continue
		}
		room = true
		if advised {
			if _, ok := st.advice.validTicket(e, now); !ok {
				continue
			}
		}
		if k := e.capacityFor(st, perTask); k > 0 {
			fits = append(fits, fit{executor: e, tasks: k, score: s.score(st, e)})
		}
	}
	switch {
	case room:
	case reserved:
		p.unfitUnreserved = append(p.unfitUnreserved, perTask)
	default:
		p.noteUnfit(perTask)
	}
	return fits
}

// findTicketedFits does the same for a stage that has answers of the adviser for few executors.
func (s *State) findTicketedFits(st *stage, p *pool, now time.Time) []fit {
	perTask := st.spec.Room()
	fits := s.fits[:0]
	defer func() { s.fits = fits }()
	for id, t := range st.advice.tickets {
		if !t.usable(now) {
			continue
		}
		e := s.executors[id]
		if e == nil || !p.has(e) || t.decision <= e.bornIn {
			continue
		}
		if k := e.capacityFor(st, perTask); k > 0 {
			fits = append(fits, fit{executor: e, tasks: k, score: s.score(st, e)})
		}
	}
	return fits
}

// compareFits orders executors for a stage, the best first.
func compareFits(a, b fit) int {
	return cmp.Or(a.zoneRank-b.zoneRank, cmp.Compare(a.score, b.score), cmp.Compare(a.executor.info.ID, b.executor.info.ID))
}

// fewFits is the number of executors up to which insertion is faster than sorting.
const fewFits = 24

// firstFits returns the best executors for n tasks, in order. Usually few tasks start and
// many executors fit.
func firstFits(fits []fit, n int) []fit {
	if n > fewFits || len(fits) <= fewFits {
		slices.SortFunc(fits, compareFits)
		return fits
	}
	best := make([]fit, 0, n+1)
	for _, f := range fits {
		if len(best) == n && compareFits(f, best[n-1]) > 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, f, compareFits)
		best = slices.Insert(best, at, f)
		best = best[:min(n, len(best))]
	}
	return best
}

// Penalties in an executor's score, as fractions of its processors.
const (
	remotePenalty   = 10.0 // away from the data, times remoteSlowdown
	failedOnPenalty = 20.0 // a run of the step has failed or was slow there: the fault may be the executor's
	servingPenalty  = 5.0  // for a filler, beside a task that serves users
)

// score rates an executor for a stage; lower is better. Best fit: tasks go where they
// leave the fewest processors free. Fillers go where most processors are idle.
func (s *State) score(st *stage, e *executor) float64 {
	perTask := st.spec.Room()
	left := e.free().Sub(perTask)
	score := 0.0
	if st.spec.Filler {
		score = -float64(left.CPU-e.fillerCPU) / math.Max(1, float64(st.spec.Need.CPU))
		if e.servingRuns > 0 {
			score += servingPenalty
		}
	} else {
		score = float64(left.CPU) / math.Max(1, float64(e.info.Room.CPU))
		if e.wastesSize(perTask.CPU) {
			score += largePenalty
		}
		if st.urgent() {
			score += speedPenalty * (e.relativeTime - 1)
		} else {
			score -= speedPenalty * (e.kindTime - 1) // Leave the faster kinds to urgent work.
		}
	}
	failedOn := st.failedOn[e.info.ID] && e.failureStreak > 0 // No run has succeeded there since.
	if failedOn || st.slowOn[e.info.ID] {
		score += failedOnPenalty
	}
	if st.spec.Rack != "" && !e.info.Has(st.spec.Rack) {
		score += remotePenalty * s.remoteSlowdown
	}
	return score
}

// runsOf returns how many runs of the stage may exist on the executor.
func (e *executor) runsOf(st *stage) int {
	n := 0
	for _, r := range e.runs {
		if r.stage == st {
			n++
		}
	}
	return n
}

// start orders a run of task i on an executor.
func (s *State) start(st *stage, i, number int, e *executor, now time.Time) {
	r := s.attachRun(st, i, number, e, starting, now)
	s.noteStart(st, now)
	text, _ := st.advice.validTicket(e, now)
	s.orders.Starts = append(s.orders.Starts, Start{
		Task: st.taskID(i), Number: r.number, Executor: e.info.ID, Spec: st.occur.job.spec.Spec,
		Checkpoint: st.checkpoint(i), Ticket: text, Version: st.occur.job.version, Config: s.configVersion(),
	})
}
