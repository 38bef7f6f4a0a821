package config

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

// The names of a Follower's metrics.
const (
	metricVersion  = "config.version"  // gauge: version applied
	metricAge      = "config.age"      // gauge: milliseconds since the confirming read was sent, -1 without one
	metricReads    = "config.reads"    // counter: reads of the platform
	metricPulls    = "config.pulls"    // counter: questions to peers
	metricTells    = "config.tells"    // counter: heads told to peers
	metricBytes    = "config.bytes"    // counter: bytes of content loaded
	metricApplied  = "config.applied"  // counter: versions applied
	metricFailed   = "config.failed"   // counter: versions that could not be loaded
	metricOld      = "config.old"      // counter: heads dropped because they are older
	metricAsks     = "config.asks"     // counter: questions to writers while the platform gives nothing
	metricAnswered = "config.answered" // counter: rounds of such questions that confirmed the version
	metricUnsure   = "config.unsure"   // counter: rounds that did not
	metricCorrupt  = "config.corrupt"  // counter: heads or content with a digest that doesn't match
)

// counts are a Follower's metrics.
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
