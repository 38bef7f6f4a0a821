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
	n := s.headroom(st, now)
	if n == 0 || (st.spec.Gang && n < len(st.tasks)) {
		st.noteBlocked(blockedByLimit, now)
		return
	}
	executors := s.suitable(st, p)
	if st.spec.Gang {
		s.placeGang(st, executors, now)
	} else {
		s.placeEach(st, executors, n, now)
	}
	switch {
	case st.waiting == 0:
		st.lastBlocked = time.Time{}
	case n < st.waiting:
		st.noteBlocked(blockedByLimit, now)
	case j.queue.Advised && !st.advice.requestedAt.IsZero():
		st.noteBlocked(blockedByAdvice, now)
	default:
		st.noteBlocked(blockedByCapacity, now)
	}
}

// placeEach starts up to n tasks, each on any executor with free capacity.
func (s *State) placeEach(st *stage, executors []*executor, n int, now time.Time) {
	selected := s.selectExecutors(st, executors, n, now)
	if len(selected) < n && st.occur.job.queue.Advised {
		s.requestAdvice(st, executors, now)
	}
	i := 0
	for _, e := range selected {
		for i < len(st.tasks) && !st.tasks[i].startable() {
			i++
		}
		if i == len(st.tasks) {
			return // The other tasks wait until their unwanted runs are gone.
		}
		s.start(st, i, st.nextNumber(i, s.runNumberBase), e, now)
	}
}

// suitable returns the executors that have the label that the stage requires. It
// ignores the adviser.
func (s *State) suitable(st *stage, p *pool) []*executor {
	if st.spec.Label == "" {
		return p.executors
	}
	out := make([]*executor, 0, len(p.executors))
	for _, e := range p.executors {
		if e.info.Has(st.spec.Label) {
			out = append(out, e)
		}
	}
	return out
}

// fit is an executor with the number of tasks of a stage that fit on it.
type fit struct {
	executor *executor
	tasks    int
	score    float64 // lower is better
}

// selectExecutors returns an executor for each of up to n tasks.
func (s *State) selectExecutors(st *stage, executors []*executor, n int, now time.Time) []*executor {
	perTask := st.spec.Room()
	fits := make([]fit, 0, len(executors))
	for _, e := range executors {
		k := e.capacityFor(st, perTask)
		if k == 0 {
			continue
		}
		if st.occur.job.queue.Advised {
			if _, ok := st.advice.validTicket(e.info.ID, now); !ok {
				continue
			}
		}
		fits = append(fits, fit{executor: e, tasks: k, score: s.score(st, e)})
	}
	var zoneRanks map[string]int
	if !st.spec.Lasting {
		zoneRanks = st.rankZones(fits, n)
	}
	slices.SortFunc(fits, func(a, b fit) int {
		return cmp.Or(cmp.Compare(zoneRanks[a.executor.info.Zone], zoneRanks[b.executor.info.Zone]), cmp.Compare(a.score, b.score),
			cmp.Compare(a.executor.info.ID, b.executor.info.ID))
	})
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

// Penalties in an executor's score, as fractions of its processors.
const (
	remotePenalty   = 10.0 // away from the data, times remoteSlowdown
	failedOnPenalty = 20.0 // a run of the step has failed there: the fault may be the executor's
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
		penalty := speedPenalty * (s.slowdown(e) - 1)
		if st.urgent() {
			score += penalty
		} else {
			score -= penalty // Leave the faster ones to urgent work.
		}
	}
	if st.failedOn[e.info.ID] && e.failureStreak > 0 { // No run has succeeded there since.
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
	s.markRunning(st.occur.job)
	text, _ := st.advice.validTicket(e.info.ID, now)
	s.orders.Starts = append(s.orders.Starts, Start{
		Task: st.taskID(i), Number: r.number, Executor: e.info.ID, Spec: st.occur.job.spec.Spec,
		Checkpoint: st.checkpoint(i), Ticket: text, Version: st.occur.job.version,
	})
}
