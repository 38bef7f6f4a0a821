package plan

import (
	"cmp"
	"slices"
	"time"
)

// forecastHorizon bounds forecast waits. It is longer than the time after which any usual job
// has lost its value.
const forecastHorizon = 180.0 // seconds

// certainLimit and certainRoom are how many times the work that can be done until its latest start must go before a
// new job, under a team's limit or on executors, so that it is taken to be left out. Behind less work, it depends on
// chance which jobs are kept.
const (
	certainLimit = 1.0
	certainRoom  = 1.25
)

// roomSurplus is the factor by which deferred work on executors may be served faster than expected. With 1.25, 6 of
// the 31 rejections in replays without a limit were wrong: a burst of better work ends.
const roomSurplus = 2.0

// leavings is what a sweep kept and left out of the work that competes for a capacity.
type leavings struct {
	atOnce float64      // core-seconds of the work for which there was capacity
	kept   []*candidate // by rank, then by slack
	ahead  []float64    // core-seconds up to and including each of them
	left   []*candidate // that are deferred
	need   float64      // mean of the ready tasks, in thousandths of a core
	total  float64      // core-seconds of kept
}

// leavings returns what the last sweep kept and left out.
func (o *overload) leavings() *leavings {
	k := &leavings{kept: make([]*candidate, 0, len(o.jobs))}
	if o.cpu > 0 {
		k.atOnce = o.free * o.ready / o.cpu
	}
	tasks := 0
	for _, c := range o.jobs {
		tasks += c.tasks
		switch {
		case c.fixed || c.mark == unmarked || c.mark == markLate:
			k.kept = append(k.kept, c)
		case c.mark == markDeferred:
			k.left = append(k.left, c)
		}
	}
	k.need = 1000 * o.cpu / float64(max(1, tasks))
	slices.SortFunc(k.kept, func(a, b *candidate) int { return cmp.Or(cmp.Compare(a.rank, b.rank), compareSlacks(a, b)) })
	k.ahead = make([]float64, len(k.kept))
	for i, c := range k.kept {
		k.total += c.work
		k.ahead[i] = k.total
	}
	return k
}

// wait returns how long a new job is expected to wait. One that is kept starts by its latest start. certain is the work
// that must go before a job that is left out, relative to what can be done until its latest start, and surplus the
// factor by which deferred work may be served faster than at pace, which is the work that is done per second at a rank.
func (k *leavings) wait(p *candidate, certain, surplus float64, pace func(rank int) float64) time.Duration {
	before, fits := k.place(p, pace(p.rank))
	if fits {
		return min(max(0, p.slack), seconds(max(0, before-k.atOnce)/pace(p.rank)))
	}
	late := *p
	late.late = true
	late.slack += (lateFactor - 1) * p.job.latencyObjective()
	late.rank += missedRankPenalty
	if _, fits = k.place(&late, certain*pace(p.rank)); fits {
		return max(0, p.slack)
	}
	return k.turn(p, surplus*(pace(p.rank)+pace(0))/2)
}

// place returns the work before a new job, and whether the rule of Moore and Hodgson would keep the job: either all
// kept jobs of its rank can still start in time behind it, or those worth less for their work make way.
func (k *leavings) place(p *candidate, rate float64) (before float64, fits bool) {
	at, _ := slices.BinarySearchFunc(k.kept, p, func(a, b *candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(a.slack, b.slack))
	})
	if at > 0 {
		before = k.ahead[at-1]
	}
	excess := before + p.work - k.atOnce - rate*p.slack.Seconds()
	gain, density := 0.0, p.rate()
	for i := at - 1; i >= 0 && k.kept[i].rank == p.rank; i-- {
		gain += k.kept[i].makesWay(p.priority, density)
	}
	for i := at; i < len(k.kept) && k.kept[i].rank == p.rank; i++ {
		c := k.kept[i]
		gain += c.makesWay(p.priority, density)
		if !c.fixed && !c.job.floored {
			excess = max(excess, k.ahead[i]+p.work-(c.work-c.ready)-k.atOnce-rate*c.slack.Seconds())
		}
	}
	return before, excess <= 0 || gain >= excess
}

// makesWay returns the work of a kept job if it is left out before one of the given priority and worth for its work.
func (c *candidate) makesWay(priority int, density float64) float64 {
	if c.fixed || c.job.floored || c.priority < priority || c.priority == priority && returnMargin*c.rate() >= density {
		return 0
	}
	return c.work
}

// turn returns how long it takes until a new job that is deferred gets its turn: behind all that is kept, and behind
// the deferred jobs that go before it. Once it is late, these are all of its rank.
func (k *leavings) turn(p *candidate, pace float64) time.Duration {
	early, late := k.total, k.total
	for _, c := range k.left {
		rank := c.priority
		if c.job.overQuota {
			rank += overQuotaRankPenalty
		}
		switch {
		case rank > p.rank:
			continue
		case c.due >= 0 && (rank < p.rank || c.due < p.slack):
			early += c.work
		}
		late += c.work
	}
	if wait := seconds(min(early/pace, forecastHorizon)); wait <= p.slack {
		return wait
	}
	return max(p.slack, seconds(min(late/pace, forecastHorizon)))
}

// seconds returns a number of seconds as a duration.
func seconds(t float64) time.Duration { return time.Duration(t * float64(time.Second)) }
