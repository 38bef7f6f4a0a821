package sched

import (
	"math"
	"time"

	"github.com/balsamford/balsamford/placer/internal/cell"
)

const (
	// faultHalf is the time in which evidence loses half its weight.
	faultHalf = 2 * time.Minute
	// faultBar is the evidence that puts an endpoint into quarantine.
	faultBar = 2.0
	// faultRate is the part of failures, above that of its peers, that does.
	faultRate = 0.5
	// barTime is the length of the first quarantine; each later one is twice
	// as long, up to maxBarTime.
	barTime    = 10 * time.Second
	maxBarTime = 10 * time.Minute
	// barredParts bounds how many endpoints are in quarantine: one in so many.
	barredParts = 4
	// probationEnds is how many tasks have to succeed after a quarantine
	// before more than one may run at a time.
	probationEnds = 3
	// maxNames is how many names of jobs are remembered.
	maxNames = 4096
)

// health is what a pool knows of an endpoint's failures.
type health struct {
	failed, passed float64 // evidence, decayed
	at             time.Time
	bars           int       // quarantines in a row
	until          time.Time // end of the present one
	probes         int       // tasks that have to succeed still
}

// jobName is what a job's tasks have in common.
type jobName struct{ team, name string }

// record counts how a job's tasks ended, on all endpoints.
type record struct{ failed, ended float64 }

// judge notes how a task ended. A failure weighs less the more of the job's
// tasks fail elsewhere too.
func (p *pool) judge(r *run, ok bool) {
	now := p.timer.Now()
	h := p.health[r.row]
	if h == nil {
		h = &health{at: now}
		p.health[r.row] = h
	}
	decay := math.Exp2(-now.Sub(h.at).Seconds() / faultHalf.Seconds())
	h.failed, h.passed, h.at = h.failed*decay, h.passed*decay, now
	name := jobName{r.entry.item.Team, r.entry.item.Name}
	rec := p.records[name]
	if rec == nil {
		if len(p.records) >= maxNames {
			clear(p.records)
		}
		rec = &record{}
		p.records[name] = rec
	}
	rec.ended++
	if ok {
		h.passed++
		h.probes = max(h.probes-1, 0)
		if h.probes == 0 {
			p.table.Probe(r.row, false)
		}
		if h.probes == 0 && h.passed > h.failed {
			h.bars = 0
		}
		return
	}
	rec.failed++
	h.failed += 1 - rec.failed/(rec.ended+1)
	p.suspect(r.row, h, now)
}

// suspect puts an endpoint into quarantine if its tasks fail far more often
// than those of its peers, or if one fails while it is on probation.
func (p *pool) suspect(row *cell.Row, h *health, now time.Time) {
	rate := h.failed / (h.failed + h.passed + 1)
	if row.Barred() || p.barred >= max(len(p.table.Rows())/barredParts, 1) {
		return
	}
	if h.probes == 0 && (h.failed < faultBar || rate < faultRate) {
		return
	}
	p.table.Bar(row, true)
	p.barred++
	h.until = now.Add(min(barTime<<h.bars, maxBarTime))
	h.bars = min(h.bars+1, 8)
}

// readmit ends the quarantines whose time is over, for one task at a time.
func (p *pool) readmit() {
	if p.barred == 0 {
		return
	}
	now := p.timer.Now()
	for row, h := range p.health {
		if !row.Barred() || now.Before(h.until) {
			continue
		}
		p.table.Bar(row, false)
		p.table.Probe(row, true)
		p.barred--
		h.failed, h.passed, h.probes = 0, 0, probationEnds
	}
}
