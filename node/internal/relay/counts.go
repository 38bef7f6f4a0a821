package relay

import (
	"github.com/rcrowley/go-metrics"

	"github.com/balsamford/balsamford/coord/meter"
)

// counts are the metrics of a Relay.
type counts struct {
	passed metrics.Counter // calls that another host made for this one
	served metrics.Counter // calls that this host made for others
	// bypassed counts how often direct access was taken to fail.
	bypassed metrics.Counter
	calls    *meter.Latency // of direct calls, except long polls
}

func newCounts(r metrics.Registry) *counts {
	return &counts{
		passed: metrics.GetOrRegisterCounter("node.store.passed", r), served: metrics.GetOrRegisterCounter("node.store.served", r),
		bypassed: metrics.GetOrRegisterCounter("node.store.bypassed", r),
		calls:    meter.NewLatency("node.store.call", r),
	}
}
