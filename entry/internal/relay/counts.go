package relay

import "github.com/rcrowley/go-metrics"

// counts are the metrics of a Runner.
type counts struct {
	sends      metrics.Counter // requests sent to a placer
	offers     metrics.Counter // refused requests that were sent to another placer
	retries    metrics.Counter // retries of requests that may have started
	settles    metrics.Counter // checks whether a run is still in progress
	overBudget metrics.Counter // retries denied by the budget
	foreign    metrics.Counter // events of another request or attempt
	incomplete metrics.Counter // answers with a wrong size or checksum
	broken     metrics.Counter // streams that broke before the outcome
}

func newCounts(r metrics.Registry) *counts {
	return &counts{
		sends:      metrics.GetOrRegisterCounter("entry.relay.sends", r),
		offers:     metrics.GetOrRegisterCounter("entry.relay.offers", r),
		retries:    metrics.GetOrRegisterCounter("entry.relay.retries", r),
		settles:    metrics.GetOrRegisterCounter("entry.relay.settles", r),
		overBudget: metrics.GetOrRegisterCounter("entry.relay.exhausts", r),
		foreign:    metrics.GetOrRegisterCounter("entry.relay.foreign", r),
		incomplete: metrics.GetOrRegisterCounter("entry.relay.short", r),
		broken:     metrics.GetOrRegisterCounter("entry.relay.broken", r),
	}
}
