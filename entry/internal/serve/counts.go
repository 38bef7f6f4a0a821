package serve

import (
	"github.com/rcrowley/go-metrics"

	"github.com/balsamford/balsamford/coord/wire"
)

// sampleSize is the number of waiting times in the histogram's sample.
const sampleSize = 1028

// counts are the metrics of a Service.
type counts struct {
	outcomes  map[wire.Outcome]metrics.Counter
	joined    metrics.Counter   // retries that waited for the run in progress
	replayed  metrics.Counter   // retries answered with the recorded outcome
	forwards  metrics.Counter   // requests forwarded to the host that holds the record
	truncated metrics.Counter   // answers cut short after their first bytes reached the caller
	revoked   metrics.Counter   // requests refused by the key check right before a send
	waits     metrics.Histogram // µs from the claim until the request may be sent
}

func newCounts(r metrics.Registry) *counts {
	c := &counts{
		outcomes:  make(map[wire.Outcome]metrics.Counter),
		joined:    metrics.GetOrRegisterCounter("entry.serve.joined", r),
		replayed:  metrics.GetOrRegisterCounter("entry.serve.replayed", r),
		forwards:  metrics.GetOrRegisterCounter("entry.serve.forwards", r),
		truncated: metrics.GetOrRegisterCounter("entry.serve.torn", r),
		revoked:   metrics.GetOrRegisterCounter("entry.serve.stopped", r),
		waits:     metrics.GetOrRegisterHistogram("entry.serve.wait", r, metrics.NewUniformSample(sampleSize)),
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
