package config

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// Names of the metrics that a Follower registers.
const (
	metricVersion  = "config.version"  // gauge: version applied, 0 without one
	metricAge      = "config.age"      // gauge: milliseconds since the version was confirmed, -1 if it isn't
	metricReads    = "config.reads"    // counter: reads of the platform
	metricPulls    = "config.pulls"    // counter: requests for a head or content sent to peers
	metricTells    = "config.tells"    // counter: heads announced to peers
	metricBytes    = "config.bytes"    // counter: bytes of content loaded
	metricApplied  = "config.applied"  // counter: versions applied
	metricFailed   = "config.failed"   // counter: versions that could not be loaded
	metricOld      = "config.old"      // counter: heads dropped because they are older than the current one
	metricAsks     = "config.asks"     // counter: Questions sent to writers while the platform is unavailable
	metricAnswered = "config.answered" // counter: queries of all writers that confirmed the version
	metricUnsure   = "config.unsure"   // counter: queries of all writers that did not
	metricCorrupt  = "config.corrupt"  // counter: heads or contents with the wrong digest
)

// counts are a Follower's counters.
type counts struct {
	reads, pulls, tells, bytes, applied, failed, old, corrupt, asks, answered, unsure metrics.Counter
}

func newCounts(f *Follower) counts {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter(name, f.registry) }
	_ = f.registry.Register(metricVersion, metrics.NewFunctionalGauge(func() int64 {
		return int64(f.Head().Version)
	}))
	_ = f.registry.Register(metricAge, metrics.NewFunctionalGauge(func() int64 {
		age, ok := f.Age()
		if !ok {
			return -1
		}
		return int64(age / time.Millisecond)
	}))
	return counts{
		reads: counter(metricReads), pulls: counter(metricPulls), tells: counter(metricTells),
		bytes: counter(metricBytes), applied: counter(metricApplied), failed: counter(metricFailed),
		old: counter(metricOld), corrupt: counter(metricCorrupt),
		asks: counter(metricAsks), answered: counter(metricAnswered), unsure: counter(metricUnsure),
	}
}
