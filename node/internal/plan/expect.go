package plan

import "time"

// estimateSmoothing is the weight of one run in the average of a queue's run times relative to
// their estimates.
const estimateSmoothing = 0.05

// minTimedRuns is the number of runs from which their mean is preferred to the estimate.
const minTimedRuns = 2

// learnEstimate updates how long tasks of a queue take, relative to their estimates, from a run
// on a warm executor.
func (s *State) learnEstimate(st *stage, e *executor, runTime time.Duration) {
	if st.spec.Estimate <= 0 {
		return
	}
	name := st.occur.job.spec.Queue
	ratio := float64(runTime) / float64(st.spec.Estimate) / s.slowdown(e)
	old, ok := s.estimateRatios[name]
	if !ok {
		old = ratio
	}
	s.estimateRatios[name] = old + estimateSmoothing*(ratio-old)
}

// expectedTime returns how long a task of the stage takes on an average executor that is warm, in
// nanoseconds: the mean of its runs, or what is usual for estimates of its queue. It returns
// false if neither is known.
func (s *State) expectedTime(st *stage) (float64, bool) {
	if st.timedRuns >= minTimedRuns {
		return float64(st.totalRunTime) / float64(st.timedRuns), true
	}
	ratio, ok := s.estimateRatios[st.occur.job.spec.Queue]
	return ratio * float64(st.spec.Estimate), ok && st.spec.Estimate > 0
}
