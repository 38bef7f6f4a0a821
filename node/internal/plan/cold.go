package plan

import "time"

// Executors are slow for a while after they have started, or after the evacuation of their zone
// has ended. Their entries say for how much longer, and not how slow they are.

const (
	// minColdRuns is the number of runs on cold executors of a kind from which their slowness
	// is taken into account.
	minColdRuns = 3
	// coldSmoothing is the least weight of one run in the average. There are few such runs.
	coldSmoothing = 0.1
	// maxColdSlowdown bounds what one run tells, since the time that it should take is itself
	// an estimate.
	maxColdSlowdown = 10.0
)

// coldSlowdown is what is known of a kind's executors while they are cold.
type coldSlowdown struct {
	factor float64 // how many times longer tasks take than on warm ones of the kind
	runs   int     // that it was learned from
}

// noteCold notes that an executor's entry says that it is cold for a while, 0 for not.
func (s *State) noteCold(e *executor, left time.Duration) {
	if left > 0 || !e.coldUntil.IsZero() {
		s.newlyCold = append(s.newlyCold, e)
	}
}

// beginColdTimes sets until when the executors are cold whose entries have changed.
func (s *State) beginColdTimes(now time.Time) {
	for _, e := range s.newlyCold {
		if e.info.Cold > 0 && !now.Before(e.coldUntil) {
			e.coldSince = now
		}
		if e.info.Cold > 0 || now.Before(e.coldUntil) {
			e.coldUntil, e.odd = now.Add(e.info.Cold), true
		}
	}
	s.newlyCold = s.newlyCold[:0]
}

// coldTime returns for how long the executor was cold between two times.
func (e *executor) coldTime(from, to time.Time) time.Duration {
	if e.coldSince.After(from) {
		from = e.coldSince
	}
	if e.coldUntil.Before(to) {
		to = e.coldUntil
	}
	return max(0, to.Sub(from))
}

// learnCold updates how slow cold executors of a kind are from a completed run that took runTime,
// during a part of which its executor was cold. Runs that were cold for less than half of their
// time tell little.
func (s *State) learnCold(st *stage, e *executor, runTime, cold time.Duration) {
	warm, ok := s.expectedTime(st)
	if !ok || cold < runTime/2 {
		return
	}
	atWarmSpeed := warm*s.slowdown(e) - float64(runTime-cold) // work done while cold
	factor := maxColdSlowdown
	if atWarmSpeed > 0 {
		factor = min(max(1/maxColdSlowdown, float64(cold)/atWarmSpeed), maxColdSlowdown)
	}
	c := s.coldSlowdowns[e.info.Kind]
	c.runs++
	c.factor += max(coldSmoothing, 1/float64(c.runs)) * (factor - c.factor)
	s.coldSlowdowns[e.info.Kind] = c
}

// coldSlowdown returns how many times longer tasks take on an executor than on warm ones of its
// kind. It is 1 for a warm executor, and as long as too little was learned.
func (s *State) coldSlowdown(e *executor, now time.Time) float64 {
	if !now.Before(e.coldUntil) {
		return 1
	}
	if c := s.coldSlowdowns[e.info.Kind]; c.runs >= minColdRuns {
		return c.factor
	}
	return 1
}
