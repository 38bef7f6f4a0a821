package certs

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

const day = 24 * time.Hour

// counts are the metrics of a Loader. Their names begin with "certs." and the
// name of the loader.
type counts struct {
	loaded metrics.Counter // replacements taken into use
	failed metrics.Counter // readings of files that weren't in order
	bad    metrics.Gauge   // 1 while the files aren't in order
}

func newCounts(l *Loader) *counts {
	prefix := "certs." + l.name
	days := func() int64 { return int64(l.Expires().Sub(l.clock.Now()) / day) }
	_ = l.registry.Register(prefix+".days", metrics.NewFunctionalGauge(days))
	return &counts{
		loaded: metrics.GetOrRegisterCounter(prefix+".loaded", l.registry),
		failed: metrics.GetOrRegisterCounter(prefix+".failed", l.registry),
		bad:    metrics.GetOrRegisterGauge(prefix+".bad", l.registry),
	}
}
