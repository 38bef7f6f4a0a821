package plan

import "time"

const (
	// flowBucket is the resolution of a flow.
	flowBucket = 250 * time.Millisecond
	// flowBuckets is the number of buckets of a flow: four seconds and the current bucket.
	flowBuckets = 17
)

// flow measures the rate of an amount over the last seconds. The zero value has measured
// nothing.
type flow struct {
	buckets [flowBuckets]float64
	newest  int64 // number of the newest bucket since the Unix epoch
}

// add adds an amount at now.
func (f *flow) add(now time.Time, amount float64) {
	f.advance(now)
	f.buckets[f.newest%flowBuckets] += amount
}

// rate returns the mean amount per second over the window before now and the current bucket.
func (f *flow) rate(now time.Time, window time.Duration) float64 {
	f.advance(now)
	full := min(int64(window/flowBucket), flowBuckets-1)
	sum := 0.0
	for n := f.newest - full; n <= f.newest; n++ {
		sum += f.buckets[n%flowBuckets]
	}
	begun := now.UnixNano() - f.newest*int64(flowBucket)
	took := time.Duration(full)*flowBucket + time.Duration(max(0, begun))
	return sum / max(took, flowBucket).Seconds()
}

// advance empties the buckets that are too old at now. A time that goes back counts as the
// newest one.
func (f *flow) advance(now time.Time) {
	n := now.UnixNano() / int64(flowBucket)
	if n-f.newest >= flowBuckets {
		clear(f.buckets[:])
		f.newest = n
	}
	for f.newest < n {
		f.newest++
		f.buckets[f.newest%flowBuckets] = 0
	}
}
