package oper

import "github.com/rcrowley/go-metrics"

// Metric names.
const (
	metricRequests = "oper.requests" // counter: requests with a valid key
	metricDenied   = "oper.denied"   // counter: requests without a valid key
	metricPublish  = "oper.publish"  // counter: versions published
	metricConflict = "oper.conflict" // counter: publishes refused because of a concurrent change
	metricRefused  = "oper.refused"  // counter: publishes refused because the configuration was invalid
	metricUnknown  = "oper.unknown"  // counter: publishes with an unknown outcome, since the platform's reply was lost
)

type counts struct {
	requests, denied, publish, conflict, refused, unknown metrics.Counter
}

func newCounts(r metrics.Registry) counts {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, r) }
	return counts{
		requests: counter(metricRequests), denied: counter(metricDenied), publish: counter(metricPublish),
		conflict: counter(metricConflict), refused: counter(metricRefused), unknown: counter(metricUnknown),
	}
}
