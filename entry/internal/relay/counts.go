package relay

import "github.com/rcrowley/go-metrics"

// counts are the metrics of a Runner.
type counts struct {
	sends    metrics.Counter // requests sent to a placer
	offers   metrics.Counter // refusals that were followed by another offer
	retries  metrics.Counter // sends after a start may have left
	settles  metrics.Counter // searches for runs that may still go on
	exhausts metrics.Counter // retries that the budget forbade
	foreign  metrics.Counter // events of another request or attempt
	short    metrics.Counter // answers that didn't come whole
	broken   metrics.Counter // streams that broke off
}

func newCounts(r metrics.Registry) *counts {
	return &counts{
		sends:    metrics.GetOrRegisterCounter("entry.relay.sends", r),
		offers:   metrics.GetOrRegisterCounter("entry.relay.offers", r),
		retries:  metrics.GetOrRegisterCounter("entry.relay.retries", r),
		settles:  metrics.GetOrRegisterCounter("entry.relay.settles", r),
		exhausts: metrics.GetOrRegisterCounter("entry.relay.exhausts", r),
		foreign:  metrics.GetOrRegisterCounter("entry.relay.foreign", r),
		short:    metrics.GetOrRegisterCounter("entry.relay.short", r),
		broken:   metrics.GetOrRegisterCounter("entry.relay.broken", r),
	}
}
