package sched

import (
	"math"
	"time"

	"github.com/balsamford/balsamford/placer/internal/alloc"
)

const (
	// evidenceHalfLife is the half-life of the failure and success counts of an
	// endpoint.
	evidenceHalfLife = 2 * time.Minute
	// An endpoint is quarantined if its weighted failures reach minFailureWeight
	// and their fraction of all outcomes reaches minFailureRate.
	minFailureWeight = 2.0
	minFailureRate   = 0.5
	// minQuarantine is the length of the first quarantine. Each further one is
	// twice as long, up to maxQuarantine.
	minQuarantine = 10 * time.Second
	maxQuarantine = 10 * time.Minute
	// maxDoublings bounds the shift that doubles the length, so that it can't
	// overflow.
	maxDoublings = 8
	// At most one endpoint, or 1/quarantineDivisor of all if that is more,
	// is in quarantine at a time.
	quarantineDivisor = 4
	// probationTasks is the number of tasks that must succeed after a
	// quarantine before the endpoint may run more than one at a time.
	probationTasks = 3
	// maxJobs is the maximum number of jobs whose outcomes are kept.
	maxJobs = 4096
)

// health is the failure history of an endpoint.
type health struct {
	failed, passed float64   // exponentially decayed counts
	decayedAt      time.Time // when the counts were last decayed
	quarantines    int       // number of consecutive quarantines, up to maxDoublings
	until          time.Time // end of the current quarantine
	probationLeft  int       // tasks that must still succeed to end the probation
}

// jobKey identifies the tasks of a job, over all requests that run it.
type jobKey struct{ team, name string }

// outcomes counts how a job's tasks ended, on all endpoints.
type outcomes struct{ failed, ended float64 }

// recordOutcome adds the outcome of a task to its endpoint's health. The higher
// the failure rate of the job on all endpoints, the less a failure of its tasks
// weighs against the endpoint.
func (p *pool) recordOutcome(r *run, ok bool) {
	now := p.timer.Now()
	h := p.health[r.row]
	if h == nil {
		h = &health{decayedAt: now}
		p.health[r.row] = h
	}
	decay := math.Exp2(-now.Sub(h.decayedAt).Seconds() / evidenceHalfLife.Seconds())
	h.failed, h.passed, h.decayedAt = h.failed*decay, h.passed*decay, now
	key := jobKey{r.entry.item.Team, r.entry.item.Name}
	job := p.outcomes[key]
	if job == nil {
		if len(p.outcomes) >= maxJobs {
			clear(p.outcomes)
		}
		job = &outcomes{}
		p.outcomes[key] = job
	}
	job.ended++
	if ok {
		h.passed++
		h.probationLeft = max(h.probationLeft-1, 0)
		if h.probationLeft == 0 {
			p.table.SetProbation(r.row, false)
		}
		if h.probationLeft == 0 && h.passed > h.failed {
			h.quarantines = 0
		}
		return
	}
	job.failed++
	h.failed += 1 - job.failed/(job.ended+1)
	p.checkQuarantine(r.row, h, now)
}

// checkQuarantine puts an endpoint into quarantine if too many of its tasks
// fail, or if one fails while the endpoint is on probation.
func (p *pool) checkQuarantine(row *alloc.Row, h *health, now time.Time) {
	rate := h.failed / (h.failed + h.passed + 1)
	if row.Quarantined() || p.quarantined >= max(len(p.table.Rows())/quarantineDivisor, 1) {
		return
	}
	if h.probationLeft == 0 && (h.failed < minFailureWeight || rate < minFailureRate) {
		return
	}
	p.table.SetQuarantined(row, true)
	p.quarantined++
	h.until = now.Add(min(minQuarantine<<h.quarantines, maxQuarantine))
	h.quarantines = min(h.quarantines+1, maxDoublings)
}

// endQuarantines reopens endpoints whose quarantine is over. They are then on
// probation.
func (p *pool) endQuarantines() {
	if p.quarantined == 0 {
		return
	}
	now := p.timer.Now()
	for row, h := range p.health {
		if !row.Quarantined() || now.Before(h.until) {
			continue
		}
		p.table.SetQuarantined(row, false)
		p.table.SetProbation(row, true)
		p.quarantined--
		h.failed, h.passed, h.probationLeft = 0, 0, probationTasks
	}
}
