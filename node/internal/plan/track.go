package plan

import (
	"math"
	"time"
)

// An executor may be slower than its kind, fail what it runs, or stop answering again and again,
// while it says that it is healthy. What runs on it tells. Urgent work goes there last. The record
// ages, so that an executor that gets no work because of it gets some again and may be healthy.

const (
	// timeWeight is the weight of one run in the record of run times.
	timeWeight = 0.2
	// maxTimeRatio bounds what one run tells about its executor, so that one run alone, which
	// may just have had more to do, doesn't make it count as slow.
	maxTimeRatio = 2.2
	// slowExcess is from how much longer runs than expected an executor counts as slow. Where
	// run times vary by a fifth, the record of a healthy one varies by a third of this.
	slowExcess = 0.25
	// failureWeight is the weight of one failure or success in the record of failures.
	failureWeight = 0.3
	// failingShare is the share of failures from which an executor counts as failing. One
	// failure alone doesn't reach it.
	failingShare = 0.4
	// failingSlowdown times the share of failures is how much longer a task is taken to need
	// on a failing executor, since it may have to start again.
	failingSlowdown = 2.0
	// trackDecay is the time constant with which the record ages.
	trackDecay = 20 * time.Second
)

// track is the record of an executor's present life. The zero value is that of a healthy one.
type track struct {
	excess   float64   // how much longer than expected its runs take, as a fraction, smoothed
	failures float64   // share of failures among its successes and failures, smoothed
	at       time.Time // when it was last updated
}

// aged returns the record as it counts at now.
func (t track) aged(now time.Time) track {
	factor := 1.0
	if !t.at.IsZero() {
		factor = math.Exp(-float64(max(0, now.Sub(t.at))) / float64(trackDecay))
	}
	return track{excess: t.excess * factor, failures: t.failures * factor, at: now}
}

// noteTime notes that a run took ratio times as long as expected.
func (t *track) noteTime(ratio float64, now time.Time) {
	*t = t.aged(now)
	t.excess += timeWeight * (min(ratio, maxTimeRatio) - 1 - t.excess)
}

// noteResult notes a failed or a successful run.
func (t *track) noteResult(failed bool, now time.Time) {
	*t = t.aged(now)
	result := 0.0
	if failed {
		result = 1
	}
	t.failures += failureWeight * (result - t.failures)
}

// slowdown returns how many times longer a task is taken to need than on a healthy executor, and
// 1 for a healthy one.
func (t track) slowdown(now time.Time) float64 {
	if t.excess < slowExcess && t.failures < failingShare {
		return 1
	}
	t = t.aged(now)
	factor := 1.0
	if t.excess >= slowExcess {
		factor += t.excess
	}
	if t.failures >= failingShare {
		factor += failingSlowdown * t.failures
	}
	return factor
}

// noteRunTime compares the time of a run with the mean of its stage's earlier runs. It leaves out
// runs whose time depends on more than their executor: away from their data, and in gangs.
func (s *State) noteRunTime(st *stage, e *executor, runTime time.Duration, now time.Time) {
	if st.timedRuns < 2 || st.spec.Gang || st.spec.Rack != "" && !e.info.Has(st.spec.Rack) {
		return
	}
	mean := float64(st.totalRunTime) / float64(st.timedRuns)
	e.noteTime(float64(runTime)/(mean*s.slowdown(e)), now)
}

// ownSlowdown returns how many times longer tasks are taken to need on an executor than on others
// of its kind.
func (s *State) ownSlowdown(e *executor, now time.Time) float64 {
	if !e.odd {
		return 1
	}
	e.odd = now.Before(e.coldUntil) || e.track.slowdown(now) > 1
	return s.coldSlowdown(e, now) * e.track.slowdown(now)
}

// CountSlow returns the number of executors that get urgent work last: by their record, or since
// they are cold.
func (s *State) CountSlow(now time.Time) int {
	n := 0
	for _, e := range s.executors {
		if s.ownSlowdown(e, now) >= slowRatio {
			n++
		}
	}
	return n
}

// slowRatio is how many times longer than usual for its kind tasks take on an executor from which
// on urgent work goes there last, or on the executors of a zone on average.
const slowRatio = 1 + slowExcess

// slow reports whether urgent work goes to the executor last, during the present decision.
func (e *executor) slow() bool { return e.ownTime >= slowRatio }

// noteTime notes that a run took ratio times as long as expected.
func (e *executor) noteTime(ratio float64, now time.Time) {
	e.track.noteTime(ratio, now)
	e.odd = e.odd || e.track.excess >= slowExcess
}

// noteResult notes a failed or a successful run.
func (e *executor) noteResult(failed bool, now time.Time) {
	e.track.noteResult(failed, now)
	e.odd = e.odd || e.track.failures >= failingShare
}

// rankFits sets the ranks of the executors in fits, for n more tasks of a stage, and returns
// those that it may use. Those that are slow are left out for urgent work if the others suffice,
// and come last if not.
func (s *State) rankFits(st *stage, fits []fit, n int) []fit {
	if !s.slowPooled {
		st.rankZones(fits, n)
		return fits
	}
	slowAt := len(fits)
	if st.urgent() {
		for i := 0; i < slowAt; {
			if fits[i].executor.slow() {
				slowAt--
				fits[i], fits[slowAt] = fits[slowAt], fits[i]
			} else {
				i++
			}
		}
	}
	sound, slow := fits[:slowAt], fits[slowAt:]
	st.rankZones(sound, n)
	if len(slow) == 0 {
		return sound
	}
	for _, f := range sound {
		n -= f.tasks
	}
	if n <= 0 {
		return sound
	}
	st.rankZones(slow, n)
	for i := range slow {
		slow[i].zoneRank += len(fits)
	}
	return fits
}
