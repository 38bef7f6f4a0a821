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

// demand is waiting work in a forecast, in units of the supply that it waits for.
type demand struct {
	stage   *stage
	probe   bool    // it isn't work of the plan
	first   urgency // at the time of the forecast
	urgency urgency // when it is served
	work    float64
	release float64 // seconds from now until it can take the contention
	start   float64 // result: seconds from now until its first part is served
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
func serve(now time.Time, demands []*demand, probesOnly bool, pace func(rank int) float64) {
	held := make([]*demand, 0, len(demands))
	ready := make([]*demand, 0, len(demands))
	var changed byUrgency // demands whose place in ready isn't known
	probes := 0
	for _, d := range demands {
		d.urgency = d.first
		d.start, d.end = forecastHorizon, forecastHorizon
		switch {
		case d.probe:
			probes++
			changed = append(changed, d)
		case d.release > 0:
			held = append(held, d)
		default:
			ready = append(ready, d)
		}
	}
	compare := func(a, b *demand) int { return a.urgency.compare(b.urgency) }
	if !slices.IsSortedFunc(ready, compare) { // Usually they are, and sorting takes long.
		slices.SortFunc(ready, compare)
	}
	slices.SortFunc(held, func(a, b *demand) int { return cmp.Compare(a.release, b.release) })
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
		case len(changed) == 0 || len(ready) > 0 && compare(ready[0], changed[0]) <= 0:
			d, ready = ready[0], ready[1:]
		default:
			d = heap.Pop(&changed).(*demand)
		}
		if u := d.stage.urgency(now.Add(seconds(t))); u.rank > d.urgency.rank {
			d.urgency = u
			heap.Push(&changed, d)
			continue
		}
		d.start = t
		if d.probe {
			probes--
		}
		if d.work > 0 {
			t += d.work / pace(d.urgency.rank)
		}
		d.end = min(t, forecastHorizon)
	}
}

// seconds returns a number of seconds as a duration.
func seconds(t float64) time.Duration { return time.Duration(t * float64(time.Second)) }
