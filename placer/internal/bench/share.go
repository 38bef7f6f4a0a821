package bench

import (
	"slices"
	"sort"
	"time"
)

// Shares are averaged over the samples of a window.
const (
	windowLength = 10 * time.Second
	sampleEvery  = 100 * time.Millisecond
)

// fairShares divides total by weight so that no team gets more than its demand
// (weighted max-min fairness).
func fairShares(weights, demands []float64, total float64) []float64 {
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

// window sums samples of the teams' actual and fair shares.
type window struct {
	have, fair []float64
	n          int
}

// add adds one sample.
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

// maxShareError returns the largest distance of a team from its fair share, as a
// fraction of the capacity.
func (w *window) maxShareError() float64 {
	worst := 0.0
	for i := range w.have {
		worst = max(worst, max(w.have[i]-w.fair[i], w.fair[i]-w.have[i])/float64(w.n))
	}
	return worst
}

// quantile returns the q-quantile of values, or 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Clone(values)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
