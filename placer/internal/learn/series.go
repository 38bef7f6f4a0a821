package learn

import "slices"

// window is how many of the last samples count.
const window = 32

// series is a ring of the last ratios of real to declared.
type series struct {
	ratios [window]float32
	n      int // samples so far
}

func (s *series) add(ratio float64) {
	s.ratios[s.n%window] = float32(ratio)
	s.n++
}

// quantile returns the q-th quantile of the window.
func (s *series) quantile(q float64) float64 {
	var sorted [window]float32
	n := min(s.n, window)
	copy(sorted[:], s.ratios[:n])
	slices.Sort(sorted[:n])
	return float64(sorted[min(int(q*float64(n)), n-1)])
}
