package bench

import (
	"github.com/balsamford/balsamford/coord/wire"
)

// books holds what teams have and demand of the workers.
type books struct {
	capacity wire.Needs
	weights  []float64
	held     []wire.Needs
	demand   []wire.Needs // what waits
	waiting  int
	window   window
	full     int // samples of the present window in which work of two teams waited
}

func (b *books) open(weights []float64, capacity wire.Needs) {
	b.weights, b.capacity = weights, capacity
	b.held = make([]wire.Needs, len(weights))
	b.demand = make([]wire.Needs, len(weights))
}

// wait counts n more of a job's tasks as waiting.
func (b *books) wait(j *job, n int) {
	if j.item.Kind == wire.Quick {
		return
	}
	b.demand[j.team] = b.demand[j.team].Add(j.item.Needs.Scale(int64(n)))
	b.waiting += n
}

// hold counts room that a job's task takes.
func (b *books) hold(j *job, needs wire.Needs) {
	if j.item.Kind == wire.Quick {
		return
	}
	b.held[j.team] = b.held[j.team].Add(needs)
}

// sample notes packing and shares.
func (d *driver) sample() {
	b := &d.teams
	var sum wire.Needs
	have, want := make([]float64, len(b.held)), make([]float64, len(b.held))
	short, total := 0, 0.0
	for i := range b.held {
		sum = sum.Add(b.held[i])
		have[i] = dominant(b.held[i], b.capacity)
		want[i] = dominant(b.held[i].Add(b.demand[i]), b.capacity)
		total += have[i]
		if !b.demand[i].IsZero() {
			short++
		}
	}
	if short > 0 {
		d.result.busy.add(dominant(sum, b.capacity))
		d.sampleHosts()
	}
	b.window.add(have, fill(b.weights, want, total))
	if short >= 2 {
		b.full++
	}
	if b.window.n < int(windowLength/sampleEvery) {
		return
	}
	if b.full == b.window.n {
		d.result.off = append(d.result.off, b.window.off())
	}
	b.window, b.full = window{}, 0
}

// sampleHosts notes how much of the workers is taken, and how many of them are
// asked for more than they have.
func (d *driver) sampleHosts() {
	var taken, all int64
	for _, h := range d.hosts {
		if h.capacity.CPU == 0 {
			continue
		}
		hot := 0.0
		if h.used.CPU > h.capacity.CPU {
			hot = 1
		}
		d.result.hot.add(hot)
		taken += min(max(h.given.CPU, h.used.CPU), h.capacity.CPU)
		all += h.capacity.CPU
	}
	d.result.taken.add(ratio(taken, all))
}

func dominant(used, capacity wire.Needs) float64 {
	s := ratio(used.CPU, capacity.CPU)
	s = max(s, ratio(used.Mem, capacity.Mem))
	return max(s, ratio(used.Accel, capacity.Accel))
}

func ratio(a, b int64) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}
