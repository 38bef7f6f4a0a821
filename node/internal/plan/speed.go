package plan

import "time"

const (
	// speedSmoothing is the weight of one run in the moving average of a hardware
	// kind's slowdown.
	speedSmoothing = 0.02
	// speedPenalty times a kind's relative slowdown is added to an executor's score
	// for urgent work and subtracted for other work.
	speedPenalty = 4.0
	// minTimedRun is the duration below which a run isn't taken into account, since
	// it consists mostly of the round trip to the executor.
	minTimedRun = 200 * time.Millisecond
)

// learnSlowdown updates the slowdown of an executor's hardware kind from a completed
// run, relative to the mean of its stage. Tasks of a stage are alike, so that they
// differ mainly by where they ran. Runs on a cold executor tell how slow those are.
func (s *State) learnSlowdown(st *stage, e *executor, startedAt, now time.Time) {
	runTime := now.Sub(startedAt)
	if runTime < minTimedRun || st.spec.Filler || st.spec.Lasting {
		return
	}
	if cold := e.coldTime(startedAt, now); cold > 0 {
		s.learnCold(st, e, runTime, cold)
		return
	}
	s.noteRunTime(st, e, runTime, now)
	st.totalRunTime += runTime
	st.timedRuns++
	s.learnEstimate(st, e, runTime)
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

// slowdown returns how many times longer tasks take on an executor's hardware kind
// than on average.
func (s *State) slowdown(e *executor) float64 {
	if x, ok := s.slowdowns[e.info.Kind]; ok {
		return x
	}
	return 1
}
