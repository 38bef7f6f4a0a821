package front

import (
	"github.com/rcrowley/go-metrics"

	"github.com/balsamford/balsamford/coord/meter"
)

// counts are the metrics of a Service.
type counts struct {
	accepted metrics.Counter // submissions and cancellations that are stored
	refused  metrics.Counter // requests that weren't carried out
	submits  *meter.Latency  // from a submission or cancellation to its answer
	states   *meter.Latency  // from a question for a job's state to its answer
}

func newCounts(r metrics.Registry) *counts {
	return &counts{
		accepted: metrics.GetOrRegisterCounter("node.front.accepted", r),
		refused:  metrics.GetOrRegisterCounter("node.front.refused", r),
		submits:  meter.NewLatency("node.front.submit", r),
		states:   meter.NewLatency("node.front.state", r),
	}
}
