package plan

import (
	"math"
	"time"
)

// throughputPrior is the time for which full use of the capacity counts as seen before any ends
// are. The first runs of a burst end only after some seconds.
const throughputPrior = 2 * time.Second

// maxUpdateGap bounds the time between two updates for which tasks count. While nothing waits there are
// none, and it isn't known how long the capacity was in full use.
const maxUpdateGap = 3 * sweepInterval

// throughput learns how much work is done in a second while a capacity is in full use: that of a
// service, or what a team's limit leaves to it. Unlike turnover it counts core-seconds, since the
// waiting tasks need not be as long as those that run. The zero value expects full use.
type throughput struct {
	done      float64 // core-seconds of the tasks done since updatedAt
	total     float64 // core-seconds of the tasks done, decaying
	observed  time.Duration
	updatedAt time.Time
}

// update takes the tasks into account that were done since the last update. They count only if the
// capacity was in full use, since they don't tell otherwise how much could be done.
func (t *throughput) update(full bool, now time.Time) {
	if passed := now.Sub(t.updatedAt); !t.updatedAt.IsZero() && passed > 0 {
		keep := math.Exp(-float64(passed) / float64(turnoverTime))
		t.total *= keep
		t.observed = time.Duration(float64(t.observed) * keep)
		if full && passed <= maxUpdateGap {
			t.total += t.done
			t.observed += passed
		}
	}
	t.done, t.updatedAt = 0, now
}

// rate returns the core-seconds that so many cores do in a second, which is at most their number.
func (t *throughput) rate(cores float64) float64 {
	prior := throughputPrior.Seconds()
	return min(cores, (t.total+cores*prior)/(t.observed.Seconds()+prior))
}

// noteDone notes that n tasks of a stage are done.
func (s *State) noteDone(st *stage, n int) {
	if st.spec.Filler || n == 0 {
		return
	}
	work := float64(n) * float64(st.spec.Need.CPU) / 1000 * st.taskTime().Seconds()
	s.serviceThroughput(st.occur.job.queue.Service).done += work
	s.team(st.occur.job.spec.Team).throughput.done += work
}

// serviceThroughput returns what is learned of a service and creates it if necessary.
func (s *State) serviceThroughput(service string) *throughput {
	t := s.throughputs[service]
	if t == nil {
		t = &throughput{}
		s.throughputs[service] = t
	}
	return t
}

// taskTime returns how long a task of the stage is expected to take: as learned, or as estimated.
func (st *stage) taskTime() time.Duration {
	if st.timedRuns >= minTimedRuns {
		return st.totalRunTime / time.Duration(st.timedRuns)
	}
	return time.Duration(st.occur.job.sizes.ratio * float64(st.spec.Estimate))
}
