package plan

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// forecastHorizon bounds forecast waits. It is longer than the time after which any usual job
// has lost its value.
const forecastHorizon = 180.0 // seconds

// certainLimit and certainRoom are how many times the time that a job has before its latest start the work before it
// must take, at the whole pace of a team's limit or of the executors, so that it is taken to be late. Behind less work
// most jobs are late too, but which ones are served just before that depends on chance. In replays with nine seeds, 7
// of 599 rejections by limits were wrong with 2, and 8 of 471 with 3; 9 of 177 by executors with 2, none of 17 with 3.
const (
	certainLimit = 2.0
	certainRoom  = 2.25
)

// demand is waiting work in a forecast, in units of the supply that it waits for.
type demand struct {
	stage   *stage
	probe   bool    // it isn't work of the plan
	first   urgency // at the time of the forecast
	urgency urgency // when it is served
	work    float64
	release float64 // seconds from now until it can take the contention
	start   float64 // result: seconds from now until its first part is served
	bound   float64 // of the start of a probe
	end     float64 // result: seconds from now until all of it is served
}

// byUrgency is a heap of demands, the most urgent first.
type byUrgency []*demand

// Len implements heap.Interface.
func (h byUrgency) Len() int { return len(h) }

// Less implements heap.Interface.
func (h byUrgency) Less(i, j int) bool { return h[i].urgency.compare(h[j].urgency) < 0 }

// Swap implements heap.Interface.
func (h byUrgency) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *byUrgency) Push(x any) { *h = append(*h, x.(*demand)) }

// Pop implements heap.Interface.
func (h *byUrgency) Pop() any {
	old := *h
	d := old[len(old)-1]
	*h = old[:len(old)-1]
	return d
}

// serve sets when each of the demands is served, in the order in which the plan serves work. Ranks
// are those at the time of service, since work that waits becomes late. pace returns the work
// that is served per second at a rank, which is less than all if better work keeps arriving. The
// demands of the plan come first, as it has ordered them, then some probes. serve ends when all probes
// are served if probesOnly is set.
//
// Heavy load: a team sends five times its usual, and thousands of tasks wait. A new short job goes
// before almost all of them, and a long one behind those that can still be in time.
func serve(now time.Time, demands []*demand, probesOnly bool, certain float64, pace func(rank int) float64) {
	held, ready, changed := orderDemands(demands)
	probes := len(changed)
	for _, p := range changed {
		p.bound = forecastHorizon
		if left := p.urgency.latestStart.Sub(now).Seconds(); workBefore(ready, p)/pace(0) < certain*left {
			p.bound = max(0, left)
			p.start = p.bound
		}
	}
	heap.Init(&changed)
	for t := 0.0; t < forecastHorizon && len(ready)+len(changed)+len(held) > 0 && (probes > 0 || !probesOnly); {
		for len(held) > 0 && held[0].release <= t {
			heap.Push(&changed, held[0])
			held = held[1:]
		}
		var d *demand
		switch {
		case len(ready) == 0 && len(changed) == 0:
			t = held[0].release
			continue
		case len(changed) == 0 || len(ready) > 0 && compareDemands(ready[0], changed[0]) <= 0:
			d, ready = ready[0], ready[1:]
		default:
			d = heap.Pop(&changed).(*demand)
		}
		if u := d.stage.urgency(now.Add(seconds(t))); u.rank > d.urgency.rank {
			d.urgency = u
			heap.Push(&changed, d)
			continue
		}
		served := pace(d.urgency.rank)
		took := d.work / served
		until := d.stage.rankUntil(d.urgency, now).Sub(now).Seconds()
		switch {
		case t+took > until:
			// The rest isn't served before the stage is late, and goes back.
			took = max(0, until-t)
			d.work -= took * served
			d.urgency.rank = max(d.urgency.rank+1, d.stage.urgency(now.Add(seconds(t+took)+time.Millisecond)).rank)
			heap.Push(&changed, d)
			if d.probe {
				continue
			}
		case d.probe:
			d.start = min(t+took, d.bound)
			probes--
			continue
		default:
			d.end = min(t+took, forecastHorizon)
		}
		d.start = min(d.start, t)
		t += took
	}
}

// rankUntil returns when a stage that waits with the given urgency gets a later rank.
func (st *stage) rankUntil(u urgency, now time.Time) time.Time {
	j, late := st.occur.job, u.rank-st.occur.job.queue.Priority
	if j.overQuota {
		late -= overQuotaRankPenalty
	}
	switch {
	case st.spec.Lasting || late > lateRankPenalty:
		return now.Add(2 * seconds(forecastHorizon)) // It has none.
	case late == lateRankPenalty:
		return u.latestStart.Add((lateFactor - 1) * j.latencyObjective())
	}
	return u.latestStart
}

// compareDemands returns a negative number if a goes before b.
func compareDemands(a, b *demand) int { return a.urgency.compare(b.urgency) }

// orderDemands returns the demands that can't be served yet, by their release, those that can, in order, and the
// probes, whose place among these isn't known.
func orderDemands(demands []*demand) (held, ready []*demand, changed byUrgency) {
	held, ready = make([]*demand, 0, len(demands)), make([]*demand, 0, len(demands))
	for _, d := range demands {
		d.urgency = d.first
		d.start, d.end = forecastHorizon, forecastHorizon
		switch {
		case d.probe:
			changed = append(changed, d)
		case d.release > 0:
			held = append(held, d)
		default:
			ready = append(ready, d)
		}
	}
	if !slices.IsSortedFunc(ready, compareDemands) { // Usually they are, and sorting takes long.
		slices.SortFunc(ready, compareDemands)
	}
	slices.SortFunc(held, func(a, b *demand) int { return cmp.Compare(a.release, b.release) })
	return held, ready, changed
}

// workBefore returns the work of ordered demands that go before a probe.
func workBefore(ready []*demand, p *demand) float64 {
	sum := 0.0
	for _, d := range ready {
		if d.urgency.compare(p.urgency) > 0 {
			break
		}
		sum += d.work
	}
	return sum
}

// seconds returns a number of seconds as a duration.
func seconds(t float64) time.Duration { return time.Duration(t * float64(time.Second)) }
