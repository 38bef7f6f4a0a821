package sched

import (
	"math"
	"slices"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/cell"
)

const (
	// paceWeight is the weight of the latest task in an endpoint's pace, and
	// trialWeight while it is slow, when few come.
	paceWeight  = 0.2
	trialWeight = 0.5
	// slowFactor is how many times longer than at its peers tasks have to take.
	slowFactor = 3
	// slowLeast is how much longer they have to take at least.
	slowLeast = 5 * time.Millisecond
	// paceEnds is how many tasks have to have ended at an endpoint.
	paceEnds = 3
	// pacePeriod is the time between two comparisons.
	pacePeriod = 100 * time.Millisecond
	// trialEvery is after how many decisions a slow endpoint is tried, and
	// trialPeriod after what time at the latest.
	trialEvery  = 200
	trialPeriod = 30 * time.Second
)

// pace is how long quick tasks take at an endpoint, from the decision to the
// end of the answer.
type pace struct {
	mean float64 // of the logarithm of seconds, which a rare long task moves little
	ends int
	most int // tasks at a time while it is slow; 0 if it isn't
}

// paces compares the endpoints of a pool. The pool's lock guards it.
type paces struct {
	rows      map[*cell.Row]*pace
	slow      int       // how many are slow
	compared  time.Time // when they were last compared
	tried     time.Time // when a slow one was last tried
	decisions int       // since then
}

// note counts a task that was done after d.
func (s *paces) note(row *cell.Row, d time.Duration) {
	v := math.Log(max(d, time.Microsecond).Seconds())
	p := s.rows[row]
	if p == nil {
		p = &pace{mean: v}
		s.rows[row] = p
	}
	weight := paceWeight
	if p.most > 0 {
		weight = trialWeight
	}
	p.mean += weight * (v - p.mean)
	p.ends++
}

func (s *paces) drop(row *cell.Row) {
	if p := s.rows[row]; p != nil && p.most > 0 {
		s.slow--
	}
	delete(s.rows, row)
}

// compare finds the endpoints that are slow beside the one in the middle.
func (s *paces) compare(now time.Time) {
	if now.Sub(s.compared) < pacePeriod || len(s.rows) < 2 {
		return
	}
	s.compared, s.slow = now, 0
	means := make([]float64, 0, len(s.rows))
	for _, p := range s.rows {
		means = append(means, p.mean)
	}
	slices.Sort(means)
	middle := means[(len(means)-1)/2]
	for row, p := range s.rows {
		p.most = 0
		longer := math.Exp(p.mean) - math.Exp(middle)
		if p.ends < paceEnds || p.mean-middle < math.Log(slowFactor) || longer < slowLeast.Seconds() {
			continue
		}
		p.most = max(int(float64(row.Capacity().Slots)*math.Exp(middle-p.mean)), 1)
		s.slow++
	}
}

// full reports whether a slow endpoint has as many tasks as it may have.
func (s *paces) full(row *cell.Row) bool {
	p := s.rows[row]
	return p != nil && p.most > 0 && row.Tasks() >= p.most
}

func (s *paces) isSlow(row *cell.Row) bool {
	p := s.rows[row]
	return p != nil && p.most > 0
}

// due reports whether a slow endpoint is to be tried.
func (s *paces) due(now time.Time) bool {
	return s.decisions >= trialEvery || now.Sub(s.tried) >= trialPeriod
}

// loosest returns the endpoint for a quick task: the one with the most room
// that isn't slow, or a slow one if it is to be tried or there is no other.
func (p *pool) loosest(needs wire.Needs, avoid []string, skip cell.Skip) *cell.Row {
	s := &p.paces
	if s.slow == 0 {
		return p.table.Loosest(needs, avoid, skip)
	}
	pass := func(r *cell.Row) bool { return skip != nil && skip(r) }
	slow := func() *cell.Row {
		return p.table.Loosest(needs, avoid, func(r *cell.Row) bool { return !s.isSlow(r) || s.full(r) || pass(r) })
	}
	now := p.timer.Now()
	s.decisions++
	if s.due(now) {
		if row := slow(); row != nil {
			s.decisions, s.tried = 0, now
			return row
		}
	}
	if row := p.table.Loosest(needs, avoid, func(r *cell.Row) bool { return s.isSlow(r) || pass(r) }); row != nil {
		return row
	}
	return slow()
}

// Slow returns how many executors are slow beside their peers.
func (s *Scheduler) Slow() int {
	s.executors.mu.Lock()
	defer s.executors.mu.Unlock()
	return s.executors.paces.slow
}
