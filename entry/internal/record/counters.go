package record

import "github.com/rcrowley/go-metrics"

// counters are the metrics of a Keeper.
type counters struct {
	size           metrics.Gauge   // records in memory
	heldByPeer     metrics.Counter // claims that the other holder has too
	heldByPlatform metrics.Counter // claims written to the platform
	refused        metrics.Counter // claims that did not reach a quorum
	known          metrics.Counter // requests whose id already had a record
	pruned         metrics.Counter // old claims removed from the platform
	unverified     metrics.Counter // refused ids that no replica could show to be unused
}

func newCounters(r metrics.Registry) *counters {
	return &counters{
		size:           metrics.GetOrRegisterGauge("entry.record.size", r),
		heldByPeer:     metrics.GetOrRegisterCounter("entry.record.held", r),
		heldByPlatform: metrics.GetOrRegisterCounter("entry.record.rows", r),
		refused:        metrics.GetOrRegisterCounter("entry.record.refused", r),
		known:          metrics.GetOrRegisterCounter("entry.record.known", r),
		pruned:         metrics.GetOrRegisterCounter("entry.record.pruned", r),
		unverified:     metrics.GetOrRegisterCounter("entry.record.forgot", r),
	}
}
