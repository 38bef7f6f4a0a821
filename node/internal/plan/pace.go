package plan

import "time"

const (
	fullPace = 100 // percent
	// paceStep is by how much pace changes at a time, in percent.
	paceStep = 50
	// slowDownRatio and paceLow are the parts of a latency target between which pace
	// stays as it is.
	slowDownRatio = 0.85
	speedUpRatio  = 0.5
)

// adjustPaces slows fillers down on executors where a task that serves users comes
// near its latency target, and lets them work again when it is far from it.
func (s *State) adjustPaces(now time.Time) {
	for _, e := range s.executors {
		e.servingRuns = 0
		slowDown, speedUp, fresh := false, true, false
		for _, r := range e.runs {
			target := r.stage.spec.Target
			if target == 0 {
				continue
			}
			e.servingRuns++
			tail := time.Duration(r.gauge) * time.Millisecond
			slowDown = slowDown || float64(tail) > slowDownRatio*float64(target)
			speedUp = speedUp && float64(tail) < speedUpRatio*float64(target)
			fresh = fresh || e.lastReport.After(e.lastPaceChange)
		}
		if e.servingRuns == 0 {
			slowDown = false
		} else if !fresh {
			continue
		}
		s.paceFillers(e, slowDown, speedUp, now)
	}
}

// paceFillers changes the pace of the fillers on one executor by a step.
func (s *State) paceFillers(e *executor, slowDown, speedUp bool, now time.Time) {
	for _, r := range e.runs {
		if !r.stage.spec.Filler || r.state != active {
			continue
		}
		pace := r.pace
		switch {
		case slowDown:
			pace = max(0, pace-paceStep)
		case speedUp:
			pace = min(fullPace, pace+paceStep)
		}
		if pace == r.pace {
			continue
		}
		r.pace = pace
		e.lastPaceChange = now
		s.orders.Paces = append(s.orders.Paces, Pace{Task: r.stage.taskID(r.index), Number: r.number, Executor: e.info.ID, Percent: pace})
	}
}
