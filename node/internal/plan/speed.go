package plan

import "time"

const (
	// speedSmoothing is the weight of one task in a kind's learned slowness.
	speedSmoothing = 0.02
	// speedPenalty is how much worse a slower kind is for urgent work, and better
	// for other work, in shares of an executor's processors for each time as long.
	speedPenalty = 4.0
	// minTimedRun is the shortest run that is timed: shorter ones are mostly the
	// way to the executor and back.
	minTimedRun = 200 * time.Millisecond
)

// learnSlowdown learns how long tasks take on a kind of hardware, against the other
// tasks of their stage, which differ little but for where they run.
func (s *State) learnSlowdown(st *stage, e *executor, runTime time.Duration) {
	if runTime < minTimedRun || st.spec.Filler || st.spec.Lasting {
		return
	}
	st.totalRunTime += runTime
	st.timedRuns++
	if st.timedRuns < 2 || e.info.Kind == "" {
		return
	}
	mean := st.totalRunTime / time.Duration(st.timedRuns)
	old, ok := s.slowdowns[e.info.Kind]
	if !ok {
		old = 1
	}
	s.slowdowns[e.info.Kind] = old + speedSmoothing*(float64(runTime)/float64(mean)-old)
}

// slowdown returns how many times as long tasks take on an executor's kind as on
// the average one.
func (s *State) slowdown(e *executor) float64 {
	if x, ok := s.slowdowns[e.info.Kind]; ok {
		return x
	}
	return 1
}
