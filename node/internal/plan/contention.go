package plan

import (
	"math"
	"time"
)

const (
	// paceWindow is the time over which the pace of a contention is measured.
	paceWindow = 2 * time.Second
	// minPaceShare times the nominal pace is the least pace that is expected. Executors that
	// start nothing for a moment, after a fault for instance, usually go on.
	minPaceShare = 0.25
	// minRankShare times the pace is the least pace that is expected for work of any rank, since the
	// arrival of better work varies.
	minRankShare = 0.1
	// usualTime is the time constant of the usual arrivals. It is longer than typical bursts of 4 to 8 s:
	// otherwise work that came in a burst would be expected to keep coming.
	usualTime = 20 * time.Second
	// scarceGap is how long no work may be seen waiting for a contention that counts as scarce. Work of a team at its
	// limit also waits for executors at times.
	scarceGap = 600 * time.Millisecond
	// maxForecastRank is the highest rank whose arrivals are told apart: the lowest priority in use,
	// beyond the quota.
	maxForecastRank = 7
)

// contention is something that waiting work takes in turn: the executors of a service, the limit of a
// team or the slots of the adviser.
type contention struct {
	started    flow      // amount of work that was started
	scarce     time.Time // since when work has waited for it without a break; zero if none does
	lastScarce time.Time // when work was last seen waiting
	arrived    [maxForecastRank + 1]flow
	usual      [maxForecastRank + 1]float64 // arrivals per second, by rank
	usualAt    time.Time                    // when usual was last updated
}

// arrive notes that work of a rank has arrived.
func (p *contention) arrive(rank int, amount float64, now time.Time) {
	p.arrived[min(max(0, rank), maxForecastRank)].add(now, amount)
}

// observe updates what is usual, and notes whether work waits for the contention.
func (p *contention) observe(scarce bool, now time.Time) {
	weight := 1 - math.Exp(-float64(now.Sub(p.usualAt))/float64(usualTime))
	for rank := range p.usual {
		p.usual[rank] += weight * (p.arrived[rank].rate(now, paceWindow) - p.usual[rank])
	}
	p.usualAt = now
	switch {
	case scarce:
		p.lastScarce = now
		if p.scarce.IsZero() {
			p.scarce = now
		}
	case now.Sub(p.lastScarce) > scarceGap:
		p.scarce = time.Time{}
	}
}

// pace returns the amount of work that is expected to start in a second. nominal is the amount
// that could start by estimates. What was started shows the pace only if work waited all the time:
// otherwise it shows the demand.
func (p *contention) pace(nominal float64, now time.Time) float64 {
	measured := p.started.rate(now, paceWindow)
	if p.scarce.IsZero() || now.Sub(p.scarce) < paceWindow {
		return max(measured, nominal)
	}
	return max(measured, nominal*minPaceShare)
}

// paces returns the pace at which work of a rank is served: what is left by better work that keeps
// arriving.
func (p *contention) paces(nominal float64, now time.Time) func(rank int) float64 {
	all := p.pace(nominal, now)
	var left [maxForecastRank + 2]float64
	rest := all
	for rank := range left {
		left[rank] = max(rest, all*minRankShare)
		if rank <= maxForecastRank {
			rest -= min(p.usual[rank], p.arrived[rank].rate(now, flowBuckets*flowBucket))
		}
	}
	return func(rank int) float64 { return left[min(max(0, rank), len(left)-1)] }
}
