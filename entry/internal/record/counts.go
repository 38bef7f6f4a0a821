package record

import "github.com/rcrowley/go-metrics"

// counts are the metrics of a Keeper.
type counts struct {
	size    metrics.Gauge   // records held
	held    metrics.Counter // claims held with another host
	rows    metrics.Counter // claims held with the platform
	refused metrics.Counter // claims that found no second place
	known   metrics.Counter // requests whose id had a record
	pruned  metrics.Counter // old claims removed from the platform
	forgot  metrics.Counter // ids that this host can't vouch for
}

func newCounts(r metrics.Registry) *counts {
	return &counts{
		size:    metrics.GetOrRegisterGauge("entry.record.size", r),
		held:    metrics.GetOrRegisterCounter("entry.record.held", r),
		rows:    metrics.GetOrRegisterCounter("entry.record.rows", r),
		refused: metrics.GetOrRegisterCounter("entry.record.refused", r),
		known:   metrics.GetOrRegisterCounter("entry.record.known", r),
		pruned:  metrics.GetOrRegisterCounter("entry.record.pruned", r),
		forgot:  metrics.GetOrRegisterCounter("entry.record.forgot", r),
	}
}
