package sched

import (
	"math"
	"time"
)

// creditTime is over what time a team's shortage is carried.
const creditTime = 10 * time.Second

// rate prepares the teams for a pass: it works out their shares, and carries
// over what a waiting team was short of since the last pass.
func (p *pool) rate() {
	now := p.timer.Now()
	dt := now.Sub(p.rated)
	p.rated = now
	var weights, used float64
	for _, t := range p.order {
		t.done = t.live == 0
		t.share = p.dominant(t)
		if t.live > 0 || t.running > 0 {
			weights += t.weight
			used += t.share
		}
	}
	decay := math.Exp(-dt.Seconds() / creditTime.Seconds())
	for _, t := range p.order {
		t.fair = 0
		if t.live > 0 || t.running > 0 {
			t.fair = used * t.weight / weights
		}
		t.credit *= decay
		if t.live > 0 && p.full {
			t.credit = max(t.credit+(t.fair-t.share)*(1-decay), 0)
		}
		t.lag = 0
		if p.policy.Aim == AimWait {
			t.rateLag(now, p.lagging)
		}
	}
}

// next returns the team that is to be served, or nil.
func (p *pool) next() *team {
	var best *team
	for _, t := range p.order {
		if t.done || t.live == 0 {
			continue
		}
		if best == nil || p.before(t, best) {
			best = t
		}
	}
	return best
}

// before reports whether a is served before b. AimWait serves urgent work of
// all teams first, and lets waiting time count beside the share.
func (p *pool) before(a, b *team) bool {
	if p.policy.Aim != AimWait {
		return a.standing() < b.standing()
	}
	if ua, ub := a.urgent(), b.urgent(); ua != ub {
		return ua
	}
	return a.standing()-a.lag < b.standing()-b.lag
}

// standing returns a team's share less what it was short of, by weight.
func (t *team) standing() float64 { return (t.share - t.credit) / t.weight }

// urgent reports whether the team has urgent work that waits and wasn't found
// unable to start in this pass.
func (t *team) urgent() bool { return len(t.lanes) > 0 && t.lanes[0].urgent && t.lanes[0].live > 0 }

// lagging says how much waiting counts with AimWait: a wait of target or more
// counts for share.
type lagging struct {
	target time.Duration
	share  float64
}

// Executors turn over within seconds, so that a team served late there loses
// little of its share; workers keep near to it.
const (
	quickTarget = 4 * time.Second
	quickShare  = 2
	taskTarget  = 30 * time.Second
	taskShare   = 0.02
)

// rateLag works out how long the team's oldest request has waited.
func (t *team) rateLag(now time.Time, g lagging) {
	for _, l := range t.lanes {
		if line := l.line(); len(line) > 0 {
			lag := now.Sub(line[0].since).Seconds() / g.target.Seconds()
			t.lag = max(t.lag, min(lag, 1)*g.share)
		}
	}
}
