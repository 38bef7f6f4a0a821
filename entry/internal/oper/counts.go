package oper

import "github.com/rcrowley/go-metrics"

// The names of the door's metrics.
const (
	metricRequests = "oper.requests" // counter: requests with a valid key
	metricDenied   = "oper.denied"   // counter: requests without one
	metricPublish  = "oper.publish"  // counter: versions published
	metricConflict = "oper.conflict" // counter: publishes refused because another came first
	metricRefused  = "oper.refused"  // counter: publishes refused because the set was wrong
	metricUnknown  = "oper.unknown"  // counter: publishes of which the platform's answer was lost
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
