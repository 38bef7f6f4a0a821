package daemon

import "github.com/rcrowley/go-metrics"

// registerGauges registers the gauges whose value is computed on each read.
func (d *Daemon) registerGauges() {
	gauges := map[string]func() int64{
		"placer.endpoints.known": func() int64 { known, _ := d.keeper.Count(); return int64(known) },
		"placer.endpoints.owned": func() int64 { _, owned := d.keeper.Count(); return int64(owned) },
		"placer.endpoints.slow":  func() int64 { return int64(d.sched.Slow()) },
		"placer.members.live":    func() int64 { return int64(len(d.members.Names())) },
		"placer.queue.waiting":   func() int64 { return int64(d.sched.Waiting()) },
		"placer.requests.busy":   func() int64 { return int64(d.server.Busy()) },
	}
	for name, f := range gauges {
		_ = d.registry.Register(name, metrics.NewFunctionalGauge(f))
	}
}
