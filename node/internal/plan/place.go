package plan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// place starts what it can of a stage.
func (s *State) place(st *stage, p *pool, now time.Time) {
	j := st.occur.job
	n := s.headroom(st, now)
	if n == 0 || (st.spec.Gang && n < len(st.tasks)) {
		st.delayed(byLimit, now)
		return
	}
	workers := s.suitable(st, p)
	if st.spec.Gang {
		s.placeGang(st, workers, now)
	} else {
		s.placeEach(st, workers, n, now)
	}
	switch {
	case st.waiting == 0:
		st.tried = time.Time{}
	case n < st.waiting:
		st.delayed(byLimit, now)
	case j.queue.Advised && !st.advice.asked.IsZero():
		st.delayed(byAdvice, now)
	default:
		st.delayed(byRoom, now)
	}
}

// placeEach starts up to n tasks wherever there is room.
func (s *State) placeEach(st *stage, workers []*worker, n int, now time.Time) {
	spots := s.spots(st, workers, n, now)
	if len(spots) < n && st.occur.job.queue.Advised {
		s.ask(st, workers, now)
	}
	i := 0
	for _, w := range spots {
		for i < len(st.tasks) && !st.tasks[i].idle() {
			i++
		}
		if i == len(st.tasks) {
			return // The others wait until unwanted runs of them are gone.
		}
		s.start(st, i, st.number(i, s.base), w, now)
	}
}

// suitable returns the executors that may run the stage, advice apart.
func (s *State) suitable(st *stage, p *pool) []*worker {
	if st.spec.Label == "" {
		return p.workers
	}
	out := make([]*worker, 0, len(p.workers))
	for _, w := range p.workers {
		if w.info.Has(st.spec.Label) {
			out = append(out, w)
		}
	}
	return out
}

// spot is an executor and how many tasks of a stage it can take.
type spot struct {
	worker *worker
	room   int
	score  float64 // lower is better
}

// spots returns an executor for each of up to n tasks.
func (s *State) spots(st *stage, workers []*worker, n int, now time.Time) []*worker {
	room := st.spec.Room()
	found := make([]spot, 0, len(workers))
	for _, w := range workers {
		k := w.holds(st, room)
		if k == 0 {
			continue
		}
		if st.occur.job.queue.Advised {
			if _, ok := st.advice.allows(w.info.ID, now); !ok {
				continue
			}
		}
		found = append(found, spot{worker: w, room: k, score: s.score(st, w)})
	}
	var order map[string]int
	if !st.spec.Lasting {
		order = st.zoneOrder(found, n)
	}
	slices.SortFunc(found, func(a, b spot) int {
		return cmp.Or(cmp.Compare(order[a.worker.info.Zone], order[b.worker.info.Zone]), cmp.Compare(a.score, b.score),
			cmp.Compare(a.worker.info.ID, b.worker.info.ID))
	})
	out := make([]*worker, 0, n)
	for _, f := range found {
		for range f.room {
			if len(out) == n {
				return out
			}
			out = append(out, f.worker)
		}
	}
	return out
}

// Weights of what makes an executor a worse choice, in shares of its processors.
const (
	farPenalty     = 10.0 // away from the data
	faultyPenalty  = 20.0 // where a run of the step has failed: the fault may be the executor's
	servingPenalty = 5.0  // a filler beside a task that serves users
)

// score says how well a stage fits an executor: tasks go where least is left
// over, fillers where most processors idle.
func (s *State) score(st *stage, w *worker) float64 {
	room := st.spec.Room()
	left := w.free().Sub(room)
	score := 0.0
	if st.spec.Filler {
		score = -float64(left.CPU-w.fill) / math.Max(1, float64(st.spec.Need.CPU))
		if w.serving > 0 {
			score += servingPenalty
		}
	} else {
		score = float64(left.CPU) / math.Max(1, float64(w.info.Room.CPU))
		penalty := speedPenalty * (s.slow(w) - 1)
		if st.urgent() {
			score += penalty
		} else {
			score -= penalty // The faster ones are left to urgent work.
		}
	}
	if st.faulty[w.info.ID] && w.faults > 0 { // Nothing has succeeded there since.
		score += faultyPenalty
	}
	if st.spec.Rack != "" && !w.info.Has(st.spec.Rack) {
		score += farPenalty * s.far
	}
	return score
}

// count returns how many tasks of the stage may be on the executor.
func (w *worker) count(st *stage) int {
	n := 0
	for _, r := range w.runs {
		if r.stage == st {
			n++
		}
	}
	return n
}

// start orders a run of task i.
func (s *State) start(st *stage, i, number int, w *worker, now time.Time) {
	r := s.attachRun(st, i, number, w, starting, now)
	s.running(st.occur.job)
	text, _ := st.advice.allows(w.info.ID, now)
	s.orders.Starts = append(s.orders.Starts, Start{
		Task: st.name(i), Number: r.number, Executor: w.info.ID, Spec: st.occur.job.spec.Spec,
		Checkpoint: st.checkpoint(i), Ticket: text, Version: st.occur.job.version,
	})
}
