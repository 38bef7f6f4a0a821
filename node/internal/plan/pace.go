package plan

import "time"

const (
	fullPace = 100 // percent
	// paceStep is by how much pace changes at a time, in percent.
	paceStep = 50
	// paceHigh and paceLow are the parts of a latency target between which pace
	// stays as it is.
	paceHigh = 0.85
	paceLow  = 0.5
)

// setPaces slows fillers down on executors where a task that serves users comes
// near its latency target, and lets them work again when it is far from it.
func (s *State) setPaces(now time.Time) {
	for _, w := range s.execs {
		w.serving = 0
		high, low, fresh := false, true, false
		for _, r := range w.runs {
			target := r.stage.spec.Target
			if target == 0 {
				continue
			}
			w.serving++
			tail := time.Duration(r.gauge) * time.Millisecond
			high = high || float64(tail) > paceHigh*float64(target)
			low = low && float64(tail) < paceLow*float64(target)
			fresh = fresh || w.reported.After(w.paced)
		}
		if w.serving == 0 {
			high = false
		} else if !fresh {
			continue
		}
		s.paceFillers(w, high, low, now)
	}
}

// paceFillers changes the pace of the fillers on one executor by a step.
func (s *State) paceFillers(w *worker, high, low bool, now time.Time) {
	for _, r := range w.runs {
		if !r.stage.spec.Filler || r.state != active {
			continue
		}
		pace := r.pace
		switch {
		case high:
			pace = max(0, pace-paceStep)
		case low:
			pace = min(fullPace, pace+paceStep)
		}
		if pace == r.pace {
			continue
		}
		r.pace = pace
		w.paced = now
		s.orders.Paces = append(s.orders.Paces, Pace{Task: r.stage.name(r.index), Number: r.number, Executor: w.info.ID, Percent: pace})
	}
}
