package plan

import "slices"

const (
	// sizeSamples is the number of a queue's last jobs from which its sizes are told.
	sizeSamples = 256
	// minSizeSamples is the number of jobs below which no job counts as large.
	minSizeSamples = 20
	// sizesInterval is the number of new jobs after which the bounds are computed again.
	sizesInterval = 16
)

// sizeClass is a range of the sizes of a queue's jobs.
type sizeClass int

const (
	usualSize   sizeClass = iota
	largeSize             // the fifth below the largest tenth
	largestSize           // the largest tenth
	sizeClasses
)

// jobSizes learns the sizes of a queue's jobs in core-seconds, by the estimates.
type jobSizes struct {
	last        []float64 // the last sizeSamples, in no order
	next        int       // position of the oldest
	fresh       int       // noted since the bounds were computed
	sum         float64   // of last
	large       float64   // jobs above it are large
	largest     float64   // jobs above it are the largest tenth
	boundsKnown bool
	ratio       float64 // learned run times of the queue relative to the estimates, at the last sweep
}

// note notes a job.
func (z *jobSizes) note(size float64) {
	z.sum += size
	z.fresh++
	if len(z.last) < sizeSamples {
		z.last = append(z.last, size)
		return
	}
	z.sum -= z.last[z.next]
	z.last[z.next] = size
	z.next = (z.next + 1) % sizeSamples
}

// mean returns the mean size, 0 if no job has a size.
func (z *jobSizes) mean() float64 {
	if len(z.last) == 0 {
		return 0
	}
	return max(0, z.sum/float64(len(z.last)))
}

// class returns the class of a size.
func (z *jobSizes) class(size float64) sizeClass {
	if len(z.last) >= minSizeSamples && (!z.boundsKnown || z.fresh >= sizesInterval) {
		sorted := slices.Sorted(slices.Values(z.last))
		z.large, z.largest = sorted[len(sorted)*7/10], sorted[len(sorted)*9/10]
		z.boundsKnown, z.fresh = true, 0
	}
	switch {
	case !z.boundsKnown || size <= z.large:
		return usualSize
	case size <= z.largest:
		return largeSize
	}
	return largestSize
}

// noteSize computes the size of a new job and notes it for its queue.
func (s *State) noteSize(j *job) {
	for i := range j.spec.Steps {
		if st := &j.spec.Steps[i]; !st.Lasting && !st.Filler {
			j.size += float64(st.Count) * float64(st.Need.CPU) / 1000 * st.Estimate.Seconds()
		}
		j.unbounded = j.unbounded || j.spec.Steps[i].Lasting
	}
	j.unbounded = j.unbounded || j.spec.Times > 0
	if j.sizes = s.jobSizes[j.spec.Queue]; j.sizes == nil {
		j.sizes = &jobSizes{ratio: 1}
		s.jobSizes[j.spec.Queue] = j.sizes
	}
	if j.size > 0 && !j.unbounded {
		j.sizes.note(j.size)
	}
}

// updateRatios gives the queues their learned run times.
func (s *State) updateRatios() {
	for queue, z := range s.jobSizes {
		z.ratio = 1
		if x, ok := s.estimateRatios[queue]; ok {
			z.ratio = x
		}
	}
}
