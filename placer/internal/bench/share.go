package bench

import (
	"slices"
	"sort"
	"time"
)

// Share is measured over windows of this length, from samples.
const (
	windowLength = 10 * time.Second
	sampleEvery  = 100 * time.Millisecond
)

// fill shares total out by weight; nobody gets more than it demands.
func fill(weights, demands []float64, total float64) []float64 {
	got := make([]float64, len(weights))
	idx := make([]int, len(weights))
	for i := range idx {
		idx[i] = i
	}
	sort.Slice(idx, func(a, b int) bool {
		return demands[idx[a]]/weights[idx[a]] < demands[idx[b]]/weights[idx[b]]
	})
	var left float64
	for _, w := range weights {
		left += w
	}
	for _, i := range idx {
		got[i] = min(demands[i], total*weights[i]/left)
		total -= got[i]
		left -= weights[i]
	}
	return got
}

// window sums samples of what teams have and what would be fair.
type window struct {
	have, fair []float64
	n          int
}

// add notes one sample.
func (w *window) add(have, fair []float64) {
	if w.have == nil {
		w.have, w.fair = make([]float64, len(have)), make([]float64, len(fair))
	}
	for i := range have {
		w.have[i] += have[i]
		w.fair[i] += fair[i]
	}
	w.n++
}

// off returns the largest distance of a team from its share, as a part of
// the cell.
func (w *window) off() float64 {
	worst := 0.0
	for i := range w.have {
		worst = max(worst, max(w.have[i]-w.fair[i], w.fair[i]-w.have[i])/float64(w.n))
	}
	return worst
}

// quantile returns the q-th quantile of values, 0 of none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
