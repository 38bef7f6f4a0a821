package sched

import (
	"math"
	"time"
)

// creditDecay is the time constant with which a team's credit decays.
const creditDecay = 10 * time.Second

// updateShares prepares the teams for a pass: it computes their shares, and
// gives credit to waiting teams that have had less than their fair share since
// the last pass.
func (p *pool) updateShares() {
	now := p.timer.Now()
	dt := now.Sub(p.sharesUpdatedAt)
	p.sharesUpdatedAt = now
	var weights, used float64
	for _, t := range p.order {
		t.exhausted = t.waiting == 0
		t.dominantShare = p.dominantShare(t)
		if t.waiting > 0 || t.running > 0 {
			weights += t.weight
			used += t.dominantShare
		}
	}
	decay := math.Exp(-dt.Seconds() / creditDecay.Seconds())
	for _, t := range p.order {
		t.fairShare = 0
		if t.waiting > 0 || t.running > 0 {
			t.fairShare = used * t.weight / weights
		}
		t.credit *= decay
		if t.waiting > 0 && p.contended {
			t.credit = max(t.credit+(t.fairShare-t.dominantShare)*(1-decay), 0)
		}
		t.waitBonus = 0
		if p.policy.Aim == AimWait {
			t.updateWaitBonus(now, p.waitBonusRule)
		}
	}
}

// nextTeam returns the team to serve next, or nil if none can start anything.
func (p *pool) nextTeam() *team {
	var best *team
	for _, t := range p.order {
		if t.exhausted || t.waiting == 0 {
			continue
		}
		if best == nil || p.servedBefore(t, best) {
			best = t
		}
	}
	return best
}

// servedBefore reports whether a is served before b. With AimWait, urgent work
// of all teams is served first, and the waiting time counts besides the share.
func (p *pool) servedBefore(a, b *team) bool {
	if p.policy.Aim != AimWait {
		return a.effectiveShare() < b.effectiveShare()
	}
	if ua, ub := a.urgent(), b.urgent(); ua != ub {
		return ua
	}
	return a.effectiveShare()-a.waitBonus < b.effectiveShare()-b.waitBonus
}

// effectiveShare returns a team's dominant share less its credit, divided by
// its weight. The team with the least is served first.
func (t *team) effectiveShare() float64 { return (t.dominantShare - t.credit) / t.weight }

// urgent reports whether the team has waiting urgent work.
func (t *team) urgent() bool {
	return len(t.subqueues) > 0 && t.subqueues[0].urgent && t.subqueues[0].waiting > 0
}

// waitBonusRule converts waiting time to a share with AimWait. The bonus grows
// linearly and reaches most after a wait of target.
type waitBonusRule struct {
	target time.Duration
	most   float64
}

// Tasks on executors last only seconds, so a team that is served late there
// loses little of its share, and the waiting time may outweigh it. On workers
// the share prevails.
const (
	quickWaitTarget = 4 * time.Second
	maxQuickBonus   = 2
	taskWaitTarget  = 30 * time.Second
	maxTaskBonus    = 0.02
)

// updateWaitBonus computes the bonus from the team's oldest request.
func (t *team) updateWaitBonus(now time.Time, b waitBonusRule) {
	for _, q := range t.subqueues {
		if entries := q.fromHead(); len(entries) > 0 {
			fraction := now.Sub(entries[0].submittedAt).Seconds() / b.target.Seconds()
			t.waitBonus = max(t.waitBonus, min(fraction, 1)*b.most)
		}
	}
}
