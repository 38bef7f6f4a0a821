package plan

import "slices"

// Executors come in some sizes, and some tasks only fit on large ones. Other work goes to smaller
// ones, or to large ones that are too full for such tasks anyway.

const (
	// maxSizes is the number of different sizes up to which they are told apart. Beyond it,
	// hardly any task fits on executors of one size only.
	maxSizes = 8
	// largePenalty is added to an executor's score for a task that doesn't need its size. It
	// outweighs how well the task fits.
	largePenalty = 1.0
)

// noteSizes sets, for executors that accept new work, the next smaller size among them.
func noteSizes(executors []*executor) {
	var sizes []int64 // sorted
	last := int64(-1)
	for _, e := range executors {
		e.smallerCPU = 0
		if e.info.Room.CPU == last {
			continue
		}
		last = e.info.Room.CPU
		if at, ok := slices.BinarySearch(sizes, e.info.Room.CPU); !ok && len(sizes) <= maxSizes {
			sizes = slices.Insert(sizes, at, e.info.Room.CPU)
		}
	}
	if len(sizes) < 2 || len(sizes) > maxSizes {
		return
	}
	for _, e := range executors {
		if at, _ := slices.BinarySearch(sizes, e.info.Room.CPU); at > 0 {
			e.smallerCPU = sizes[at-1]
		}
	}
}

// wastesSize reports whether a task that needs cpu would take capacity from an executor on which
// a task could start now that fits on none of the smaller ones, though it fits there itself.
func (e *executor) wastesSize(cpu int64) bool {
	return cpu <= e.smallerCPU && e.info.Room.CPU-e.used.CPU > e.smallerCPU
}
