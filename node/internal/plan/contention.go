package plan

import (
	"math"
	"time"
)

const (
	// paceWindow is the time over which the pace of a contention is measured.
	paceWindow = 2 * time.Second
	// minRankShare times the pace is the least pace that is expected for work of any rank, and betterShare is
	// the share of the usual better work that is expected to keep coming, since its arrival varies. With all of it,
	// 16 of 612 rejections in replays were wrong, with 0.7 of it 14 of 602.
	minRankShare = 0.2
	betterShare  = 0.7
	// usualTime is the time constant of the usual arrivals. It is longer than typical bursts of 4 to 8 s:
	// otherwise work that came in a burst would be expected to keep coming.
	usualTime = 20 * time.Second
	// scarceGap is how long no work may be seen waiting for a contention that counts as scarce. Work of a team at its
	// limit also waits for executors at times.
	scarceGap = 600 * time.Millisecond
	// longScarce is how long work must have waited before a forecast is made: less is no overload.
	longScarce = 500 * time.Millisecond
	// maxForecastRank is the highest rank whose arrivals are told apart: the lowest priority in use,
	// beyond the quota.
	maxForecastRank = 7
)

// contention is something that waiting work takes in turn: the executors of a service or the limit of a
// team.
type contention struct {
	scarce     time.Time // since when work has waited for it without a break; zero if none does
	lastScarce time.Time // when work was last seen waiting
	arrived    [maxForecastRank + 1]flow
	usual      [maxForecastRank + 1]float64 // arrivals per second, by rank
	usualAt    time.Time                    // when usual was last updated
	since      time.Time                    // when usual was first updated
}

// arrive notes that work of a rank has arrived.
func (p *contention) arrive(rank int, amount float64, now time.Time) {
	p.arrived[min(max(0, rank), maxForecastRank)].add(now, amount)
}

// observe updates what is usual, and notes whether work waits for the contention.
func (p *contention) observe(scarce bool, now time.Time) {
	if p.since.IsZero() {
		p.since = now.Add(-paceWindow)
	}
	took := float64(now.Sub(p.usualAt))
	weight := min(1, max(1-math.Exp(-took/float64(usualTime)), took/float64(now.Sub(p.since)))) // At first, the plain mean.
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

// lacking reports whether work has waited for the contention for long.
func (p *contention) lacking(now time.Time) bool {
	return !p.scarce.IsZero() && now.Sub(p.scarce) >= longScarce
}

// paces returns, for a pace of all work, the one at which work of a rank is served: what is left by better work that keeps
// arriving.
func (p *contention) paces(all float64, now time.Time) func(rank int) float64 {
	var left [maxForecastRank + 2]float64
	rest := all
	for rank := range left {
		left[rank] = max(rest, all*minRankShare)
		if rank <= maxForecastRank {
			rest -= betterShare * min(p.usual[rank], p.arrived[rank].rate(now, flowBuckets*flowBucket), p.arrived[rank].rate(now, paceWindow))
		}
	}
	return func(rank int) float64 { return left[min(max(0, rank), len(left)-1)] }
}
