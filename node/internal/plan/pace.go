package plan

import "time"

const (
	fullPace = 100 // percent
	// fullPercent is the progress of a task that is done.
	fullPercent = 100
	// paceStep is the change of pace at a time, in percent.
	paceStep = 50
	// Fillers slow down when a tail latency beside them is above slowDownRatio of its
	// target, and speed up when all are below speedUpRatio.
	slowDownRatio = 0.85
	speedUpRatio  = 0.5
)

// adjustPaces slows fillers down on executors where the tail latency of a serving
// task comes near its target, and speeds them up again when it is well below. Beside
// serving tasks, a pace changes at most once for each report.
func (s *State) adjustPaces(now time.Time) {
	changed := s.changed
	s.changed = nil
	for _, e := range changed {
		e.changed, e.servingRuns = false, 0
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

// PaceFailed notes that an order wasn't confirmed. It is repeated, according to what the
// executor reports by then.
func (s *State) PaceFailed(p Pace) {
	if r := s.find(p.Executor, p.Task, p.Number); r != nil {
		r.paceInDoubt = true
	}
}

// paceFillers changes the pace of the fillers on an executor by one step.
func (s *State) paceFillers(e *executor, slowDown, speedUp bool, now time.Time) {
	for _, r := range e.runs {
		if !r.stage.spec.Filler || r.state != active {
			continue
		}
		pace := r.pace
		if r.paceInDoubt {
			pace = paceStep // Work and harm are bounded until reports tell more.
		}
		switch {
		case slowDown:
			pace = max(0, pace-paceStep)
		case speedUp:
			pace = min(fullPace, pace+paceStep)
		}
		if pace == r.pace && !r.paceInDoubt {
			continue
		}
		r.pace, r.paceInDoubt = pace, false
		e.lastPaceChange = now
		s.orders.Paces = append(s.orders.Paces, Pace{Task: r.stage.taskID(r.index), Number: r.number, Executor: e.info.ID, Percent: pace})
	}
}
