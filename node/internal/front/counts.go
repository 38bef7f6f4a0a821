package front

import (
	"github.com/rcrowley/go-metrics"

	"github.com/balsamford/balsamford/coord/meter"
)

// counts are the metrics of a Service.
type counts struct {
	accepted metrics.Counter // submissions and cancellations that are stored
	refused  metrics.Counter // requests that were answered with an error
	submits  *meter.Latency  // of submissions and cancellations, until the answer
	states   *meter.Latency  // of state requests, until the answer
}

func newCounts(r metrics.Registry) *counts {
	return &counts{
		accepted: metrics.GetOrRegisterCounter("node.front.accepted", r),
		refused:  metrics.GetOrRegisterCounter("node.front.refused", r),
		submits:  meter.NewLatency("node.front.submit", r),
		states:   meter.NewLatency("node.front.state", r),
	}
}
