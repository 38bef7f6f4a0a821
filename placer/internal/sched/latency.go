package sched

import (
	"math"
	"slices"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/alloc"
)

const (
	// ewmaWeight is the weight of the latest task in an endpoint's moving
	// average. slowEWMAWeight is used while the endpoint is slow, because few
	// tasks run there then.
	ewmaWeight     = 0.2
	slowEWMAWeight = 0.5
	// An endpoint is slow if its mean latency is at least slowFactor times the
	// median of its pool and exceeds it by at least minSlowdown, measured over
	// at least minSamples tasks.
	slowFactor  = 3
	minSlowdown = 5 * time.Millisecond
	minSamples  = 3
	// comparePeriod is the minimum time between two comparisons of endpoints.
	comparePeriod = 100 * time.Millisecond
	// A slow endpoint gets a trial task after slowTrialDecisions decisions or
	// after slowTrialPeriod, whichever comes first.
	slowTrialDecisions = 200
	slowTrialPeriod    = 30 * time.Second
)

// latency tracks how long quick tasks take on an endpoint, from the decision to
// the end of the response.
type latency struct {
	meanLog  float64 // moving average of ln(seconds); the logarithm dampens rare long tasks
	samples  int
	maxTasks int // concurrency limit while the endpoint is slow; 0 if it isn't slow
}

// latencies finds the slow endpoints of a pool. The pool's lock guards it.
type latencies struct {
	rows       map[*alloc.Row]*latency
	slow       int       // number of slow endpoints
	comparedAt time.Time // last comparison
	triedAt    time.Time // last trial of a slow endpoint
	decisions  int       // decisions since the last trial
}

// add records a task that took d.
func (s *latencies) add(row *alloc.Row, d time.Duration) {
	v := math.Log(max(d, time.Microsecond).Seconds())
	l := s.rows[row]
	if l == nil {
		l = &latency{meanLog: v}
		s.rows[row] = l
	}
	weight := ewmaWeight
	if l.maxTasks > 0 {
		weight = slowEWMAWeight
	}
	l.meanLog += weight * (v - l.meanLog)
	l.samples++
}

func (s *latencies) drop(row *alloc.Row) {
	if l := s.rows[row]; l != nil && l.maxTasks > 0 {
		s.slow--
	}
	delete(s.rows, row)
}

// compare marks the endpoints that are slow compared with the median.
func (s *latencies) compare(now time.Time) {
	if now.Sub(s.comparedAt) < comparePeriod || len(s.rows) < 2 {
		return
	}
	s.comparedAt, s.slow = now, 0
	means := make([]float64, 0, len(s.rows))
	for _, l := range s.rows {
		means = append(means, l.meanLog)
	}
	slices.Sort(means)
	median := means[(len(means)-1)/2]
	for row, l := range s.rows {
		l.maxTasks = 0
		excess := math.Exp(l.meanLog) - math.Exp(median)
		if l.samples < minSamples || l.meanLog-median < math.Log(slowFactor) || excess < minSlowdown.Seconds() {
			continue
		}
		l.maxTasks = max(int(float64(row.Capacity().Slots)*math.Exp(median-l.meanLog)), 1)
		s.slow++
	}
}

// full reports whether a slow endpoint has reached its concurrency limit.
func (s *latencies) full(row *alloc.Row) bool {
	l := s.rows[row]
	return l != nil && l.maxTasks > 0 && row.Tasks() >= l.maxTasks
}

func (s *latencies) isSlow(row *alloc.Row) bool {
	l := s.rows[row]
	return l != nil && l.maxTasks > 0
}

// trialDue reports whether the next task is to be tried on a slow endpoint.
func (s *latencies) trialDue(now time.Time) bool {
	return s.decisions >= slowTrialDecisions || now.Sub(s.triedAt) >= slowTrialPeriod
}

// worstFit returns the endpoint for a quick task: the one with the most room
// among those that aren't slow. It returns a slow one if a trial is due or no
// other has room.
func (p *pool) worstFit(needs wire.Needs, avoid []string, skip alloc.Skip) *alloc.Row {
	s := &p.latencies
	if s.slow == 0 {
		return p.table.WorstFit(needs, avoid, skip)
	}
	skipped := func(r *alloc.Row) bool { return skip != nil && skip(r) }
	slowEndpoint := func() *alloc.Row {
		return p.table.WorstFit(needs, avoid, func(r *alloc.Row) bool { return !s.isSlow(r) || s.full(r) || skipped(r) })
	}
	now := p.timer.Now()
	s.decisions++
	if s.trialDue(now) {
		if row := slowEndpoint(); row != nil {
			s.decisions, s.triedAt = 0, now
			return row
		}
	}
	if row := p.table.WorstFit(needs, avoid, func(r *alloc.Row) bool { return s.isSlow(r) || skipped(r) }); row != nil {
		return row
	}
	return slowEndpoint()
}

// Slow returns the number of executors that are slow compared with the others.
func (s *Scheduler) Slow() int {
	s.executors.mu.Lock()
	defer s.executors.mu.Unlock()
	return s.executors.latencies.slow
}
