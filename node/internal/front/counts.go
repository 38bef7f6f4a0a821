package front

import "github.com/rcrowley/go-metrics"

// counts are the metrics of a Service.
type counts struct {
	accepted metrics.Counter // submissions and cancellations that are stored
	refused  metrics.Counter // requests that weren't carried out
}

func newCounts(r metrics.Registry) *counts {
	return &counts{
		accepted: metrics.GetOrRegisterCounter("node.front.accepted", r),
		refused:  metrics.GetOrRegisterCounter("node.front.refused", r),
	}
}
