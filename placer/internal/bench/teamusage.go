package bench

import (
	"github.com/balsamford/balsamford/coord/wire"
)

// teamUsage tracks the workers' capacity that teams hold and wait for.
type teamUsage struct {
	capacity  wire.Needs
	weights   []float64
	held      []wire.Needs
	demand    []wire.Needs // needs of the waiting tasks
	waiting   int
	window    window
	contended int // samples of the current window in which at least two teams had waiting tasks
}

func (b *teamUsage) init(weights []float64, capacity wire.Needs) {
	b.weights, b.capacity = weights, capacity
	b.held = make([]wire.Needs, len(weights))
	b.demand = make([]wire.Needs, len(weights))
}

// addWaiting adds n waiting tasks of a job.
func (b *teamUsage) addWaiting(j *job, n int) {
	if j.item.Kind == wire.Quick {
		return
	}
	b.demand[j.team] = b.demand[j.team].Add(j.item.Needs.Scale(int64(n)))
	b.waiting += n
}

// addHeld adds the capacity that a task of a job holds.
func (b *teamUsage) addHeld(j *job, needs wire.Needs) {
	if j.item.Kind == wire.Quick {
		return
	}
	b.held[j.team] = b.held[j.team].Add(needs)
}

// sample records one sample of the packing and of the teams' shares.
func (d *driver) sample() {
	b := &d.usage
	var sum wire.Needs
	held, wanted := make([]float64, len(b.held)), make([]float64, len(b.held))
	teamsWaiting, total := 0, 0.0
	for i := range b.held {
		sum = sum.Add(b.held[i])
		held[i] = dominantShare(b.held[i], b.capacity)
		wanted[i] = dominantShare(b.held[i].Add(b.demand[i]), b.capacity)
		total += held[i]
		if !b.demand[i].IsZero() {
			teamsWaiting++
		}
	}
	if teamsWaiting > 0 {
		d.result.reserved.add(dominantShare(sum, b.capacity))
		d.sampleHosts()
	}
	b.window.add(held, fairShares(b.weights, wanted, total))
	if teamsWaiting >= 2 {
		b.contended++
	}
	if b.window.n < int(windowLength/sampleEvery) {
		return
	}
	if b.contended == b.window.n {
		d.result.shareErrors = append(d.result.shareErrors, b.window.maxShareError())
	}
	b.window, b.contended = window{}, 0
}

// sampleHosts records how much of the workers' capacity is reserved or used, and
// how many workers are overloaded.
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
		d.result.overloaded.add(hot)
		taken += min(max(h.reserved.CPU, h.used.CPU), h.capacity.CPU)
		all += h.capacity.CPU
	}
	d.result.taken.add(ratio(taken, all))
}

func dominantShare(used, capacity wire.Needs) float64 {
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
