package store

import "github.com/rcrowley/go-metrics"

// counts counts the calls of the platform by kind. Its registry is optional.
type counts struct {
	reads  metrics.Counter
	writes metrics.Counter
	lost   metrics.Counter // calls that ended with an *UnavailableError
}

func newCounts(r metrics.Registry) *counts {
	if r == nil {
		r = metrics.NewRegistry()
	}
	return &counts{
		reads:  metrics.GetOrRegisterCounter("store.reads", r),
		writes: metrics.GetOrRegisterCounter("store.writes", r),
		lost:   metrics.GetOrRegisterCounter("store.lost", r),
	}
}
