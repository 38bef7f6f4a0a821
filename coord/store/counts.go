package store

import "github.com/rcrowley/go-metrics"

// counts are the metrics of a Client or a Memory.
type counts struct {
	reads       metrics.Counter
	writes      metrics.Counter
	unavailable metrics.Counter // calls that failed with an *UnavailableError
}

// newCounts registers the metrics in r, or in a new registry if r is nil.
func newCounts(r metrics.Registry) *counts {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return &counts{
		reads:       metrics.GetOrRegisterCounter("store.reads", r),
		writes:      metrics.GetOrRegisterCounter("store.writes", r),
		unavailable: metrics.GetOrRegisterCounter("store.lost", r),
	}
}
