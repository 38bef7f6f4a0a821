package learn

import "slices"

// window is the number of latest samples that are kept.
const window = 32

// samples is a ring buffer of the latest ratios of actual to declared values.
type samples struct {
	ratios [window]float32
	total  int // number of samples added, including overwritten ones
}

func (s *samples) add(ratio float64) {
	s.ratios[s.total%window] = float32(ratio)
	s.total++
}

// quantile returns the quantile q, between 0 and 1, of the kept samples.
func (s *samples) quantile(q float64) float64 {
	var sorted [window]float32
	n := min(s.total, window)
	copy(sorted[:], s.ratios[:n])
	slices.Sort(sorted[:n])
	return float64(sorted[min(int(q*float64(n)), n-1)])
}
