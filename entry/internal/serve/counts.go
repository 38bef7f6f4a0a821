package serve

import (
	"github.com/rcrowley/go-metrics"

	"github.com/balsamford/balsamford/coord/wire"
)

// sampleSize is the number of waiting times that are remembered.
const sampleSize = 1028

// counts are the metrics of a Service.
type counts struct {
	outcomes map[wire.Outcome]metrics.Counter
	joined   metrics.Counter // retries joined to a running request
	replayed metrics.Counter // retries answered from the record
	forwards metrics.Counter // requests passed on to the record's host
	torn     metrics.Counter // answers that broke off on the way to the caller
	stopped  metrics.Counter // requests refused just before they were sent
	waits    metrics.Histogram
}

func newCounts(r metrics.Registry) *counts {
	c := &counts{
		outcomes: make(map[wire.Outcome]metrics.Counter),
		joined:   metrics.GetOrRegisterCounter("entry.serve.joined", r),
		replayed: metrics.GetOrRegisterCounter("entry.serve.replayed", r),
		forwards: metrics.GetOrRegisterCounter("entry.serve.forwards", r),
		torn:     metrics.GetOrRegisterCounter("entry.serve.torn", r),
		stopped:  metrics.GetOrRegisterCounter("entry.serve.stopped", r),
		waits:    metrics.GetOrRegisterHistogram("entry.serve.wait", r, metrics.NewUniformSample(sampleSize)),
	}
	for _, o := range []wire.Outcome{wire.Done, wire.Failed, wire.NotRun, wire.Unknown} {
		c.outcomes[o] = metrics.GetOrRegisterCounter("entry.serve."+string(o), r)
	}
	return c
}

func (c *counts) outcome(o wire.Outcome) {
	if n := c.outcomes[o]; n != nil {
		n.Inc(1)
	}
}
