package owner

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/balsamford/balsamford/coord/meter"
	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/plan"
)

// counts are the metrics of an Owner.
type counts struct {
	epoch     metrics.Gauge   // of the present or last term
	terms     metrics.Counter // times that this host took the cell over
	executors metrics.Gauge   // that the owner knows
	silent    metrics.Gauge   // that don't answer
	waiting   metrics.Gauge   // tasks that could run and have no run
	paused    metrics.Gauge   // 1 while ownership isn't certain and nothing starts
	starts    metrics.Counter // runs that executors confirmed
	failed    metrics.Counter // starts that didn't happen, or of which it isn't known
	lost      metrics.Counter // runs that ended otherwise than done or by an order
	ends      map[model.Phase]metrics.Counter
	late      metrics.Counter // jobs done after their objective
	times     *meter.Latency  // from a job's acceptance until its end is recorded
	records   *meter.Latency  // of a write
}

func newCounts(r metrics.Registry) *counts {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("node.owner."+name, r) }
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge("node.owner."+name, r) }
	return &counts{
		epoch: gauge("epoch"), terms: counter("terms"), executors: gauge("executors"), silent: gauge("silent"), waiting: gauge("waiting"),
		paused: gauge("paused"), starts: counter("starts"), failed: counter("failed"), lost: counter("lost"),
		ends: map[model.Phase]metrics.Counter{
			model.Done:      metrics.GetOrRegisterCounter("node.job.done", r),
			model.Failed:    metrics.GetOrRegisterCounter("node.job.failed", r),
			model.Cancelled: metrics.GetOrRegisterCounter("node.job.cancelled", r),
		},
		late:  metrics.GetOrRegisterCounter("node.job.late", r),
		times: meter.NewLatency("node.job.time", r), records: meter.NewLatency("node.owner.record", r),
	}
}

// ended notes the recorded end of a job.
func (c *counts) ended(change *plan.Change, now time.Time) {
	c.ends[change.Progress.Phase].Inc(1)
	if change.Progress.Phase != model.Done {
		return
	}
	took := now.Sub(change.Sent)
	c.times.Note(took)
	if change.Objective > 0 && took > change.Objective {
		c.late.Inc(1)
	}
}

// gauge sets what is counted each second. The term's mu is held.
func (t *term) gauge() {
	c := t.owner.counts
	silent := 0
	for _, a := range t.agents {
		if a.silent {
			silent++
		}
	}
	c.executors.Update(int64(len(t.agents)))
	c.silent.Update(int64(silent))
	c.waiting.Update(int64(t.plan.Waiting()))
	c.paused.Update(0)
	if t.paused {
		c.paused.Update(1)
	}
}

// clear sets to zero what only an owner knows.
func (c *counts) clear() {
	for _, g := range []metrics.Gauge{c.executors, c.silent, c.waiting, c.paused} {
		g.Update(0)
	}
}
