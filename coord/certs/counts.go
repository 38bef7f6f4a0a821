package certs

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

const day = 24 * time.Hour

// counts are the metrics of a Loader. Their names begin with "certs." and the
// loader's name. One more metric, "days", is the number of days until the
// current certificate expires.
type counts struct {
	loaded  metrics.Counter // new certificates put into use
	failed  metrics.Counter // reloads that failed because the files were invalid
	invalid metrics.Gauge   // 1 if the latest reload failed, else 0
}

func newCounts(l *Loader) *counts {
	prefix := "certs." + l.name
	daysLeft := func() int64 { return int64(l.Expires().Sub(l.clock.Now()) / day) }
	_ = l.registry.Register(prefix+".days", metrics.NewFunctionalGauge(daysLeft))
	return &counts{
		loaded:  metrics.GetOrRegisterCounter(prefix+".loaded", l.registry),
		failed:  metrics.GetOrRegisterCounter(prefix+".failed", l.registry),
		invalid: metrics.GetOrRegisterGauge(prefix+".bad", l.registry),
	}
}
