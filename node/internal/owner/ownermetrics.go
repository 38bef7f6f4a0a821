package owner

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/balsamford/balsamford/coord/meter"
	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/plan"
)

// ownerMetrics holds the metrics of an Owner.
type ownerMetrics struct {
	epoch           metrics.Gauge                     // of the current or last term
	terms           metrics.Counter                   // terms of this host
	executors       metrics.Gauge                     // executors known to the owner
	silent          metrics.Gauge                     // executors that don't respond
	excluded        map[plan.Exclusion]metrics.Gauge  // executors that get no new work, by reason
	slow            metrics.Gauge                     // executors that get urgent work last
	staying         metrics.Gauge                     // runs in evacuated zones
	bounded         metrics.Gauge                     // executors whose leases end by a recorded time though they respond
	unknownZones    metrics.Counter                   // evacuated zones in which no executor was known
	waiting         metrics.Gauge                     // tasks that are ready but have no run
	paused          metrics.Gauge                     // 1 while no run may start, since ownership isn't confirmed
	lag             metrics.Gauge                     // by how much the decision loop falls behind, in milliseconds
	advice          adviceMetrics                     // of the requests to the adviser
	starts          metrics.Counter                   // starts confirmed by executors
	failed          metrics.Counter                   // starts that failed or whose outcome is unknown
	refused         map[plan.Refusal]metrics.Counter  // starts that are known not to have happened, by reason
	oversize        metrics.Gauge                     // records that are larger than a row may be
	lost            metrics.Counter                   // runs that neither finished nor were stopped by an order
	crossed         metrics.Counter                   // acknowledgements that another life of an executor took
	vanished        metrics.Counter                   // runs that an executor had confirmed and listed no more
	doubled         metrics.Counter                   // runs of tasks that were done or ran elsewhere
	lapsed          map[basis]metrics.Counter         // executors whose leases ended while they didn't respond
	moved           metrics.Counter                   // runs that were ordered to leave an evacuated zone
	wasted          map[plan.Waste]metrics.Counter    // work that was lost, in core-milliseconds, by reason
	deferred        metrics.Gauge                     // jobs that can't be in time, so that others can
	deferrals       map[plan.Deferral]metrics.Counter // how often jobs were deferred, by reason
	returned        metrics.Counter                   // zones that were cut off and answered again
	ends            map[model.Phase]metrics.Counter
	late            metrics.Counter // jobs that finished after their latency objective
	handoverSent    metrics.Counter // states that a successor has taken over
	handoverTaken   metrics.Counter // states that this host has taken over
	handoverDropped metrics.Counter // received states that weren't used
	handoverTime    *meter.Latency  // from the request for a hand-over until the successor has taken it
	jobLatency      *meter.Latency  // from a job's acceptance until its end is recorded
	writeLatency    *meter.Latency  // duration of the owner's writes
}

func newOwnerMetrics(r metrics.Registry) *ownerMetrics {
	counter := func(name string) metrics.Counter { return metrics.GetOrRegisterCounter("node.owner."+name, r) }
	gauge := func(name string) metrics.Gauge { return metrics.GetOrRegisterGauge("node.owner."+name, r) }
	excluded := make(map[plan.Exclusion]metrics.Gauge)
	for _, x := range plan.Exclusions() {
		excluded[x] = metrics.GetOrRegisterGauge("node.owner.excluded."+x.String(), r)
	}
	refused := make(map[plan.Refusal]metrics.Counter)
	for _, why := range plan.Refusals() {
		refused[why] = metrics.GetOrRegisterCounter("node.owner.refused."+why.String(), r)
	}
	wasted := make(map[plan.Waste]metrics.Counter)
	for _, why := range plan.Wastes() {
		wasted[why] = metrics.GetOrRegisterCounter("node.owner.wasted."+why.String(), r)
	}
	deferrals := make(map[plan.Deferral]metrics.Counter)
	for _, why := range plan.Deferrals() {
		deferrals[why] = metrics.GetOrRegisterCounter("node.owner.deferred."+why.String(), r)
	}
	return &ownerMetrics{
		epoch:        gauge("epoch"),
		terms:        counter("terms"),
		executors:    gauge("executors"),
		silent:       gauge("silent"),
		slow:         gauge("slow"),
		staying:      gauge("staying"),
		excluded:     excluded,
		bounded:      gauge("bounded"),
		waiting:      gauge("waiting"),
		unknownZones: metrics.GetOrRegisterCounter("node.owner.zones.unknown", r),
		paused:       gauge("paused"),
		lag:          gauge("lag"),
		advice:       newAdviceMetrics(r),
		starts:       counter("starts"),
		failed:       counter("failed"),
		refused:      refused,
		oversize:     gauge("oversize"),
		lost:         counter("lost"),
		crossed:      counter("crossed"),
		returned:     counter("returned"),
		vanished:     counter("vanished"),
		doubled:      counter("doubled"),
		moved:        counter("moved"),
		wasted:       wasted,
		deferred:     gauge("deferred"),
		deferrals:    deferrals,
		lapsed: map[basis]metrics.Counter{
			byLease:  metrics.GetOrRegisterCounter("node.owner.lapsed.lease", r),
			byRecord: metrics.GetOrRegisterCounter("node.owner.lapsed.record", r),
			bySettle: metrics.GetOrRegisterCounter("node.owner.lapsed.settle", r),
		},
		ends: map[model.Phase]metrics.Counter{
			model.Done:      metrics.GetOrRegisterCounter("node.job.done", r),
			model.Failed:    metrics.GetOrRegisterCounter("node.job.failed", r),
			model.Cancelled: metrics.GetOrRegisterCounter("node.job.cancelled", r),
		},
		handoverSent: metrics.GetOrRegisterCounter("node.owner.handover.sent", r), handoverTaken: metrics.GetOrRegisterCounter("node.owner.handover.taken", r),
		handoverDropped: metrics.GetOrRegisterCounter("node.owner.handover.dropped", r), handoverTime: meter.NewLatency("node.owner.handover.time", r),
		late:       metrics.GetOrRegisterCounter("node.job.late", r),
		jobLatency: meter.NewLatency("node.job.time", r), writeLatency: meter.NewLatency("node.owner.record", r),
	}
}

// jobEnded updates the metrics for a job whose end was recorded.
func (c *ownerMetrics) jobEnded(change *plan.Change, now time.Time) {
	c.ends[change.Progress.Phase].Inc(1)
	if change.Progress.Phase != model.Done {
		return
	}
	took := now.Sub(change.Sent)
	c.jobLatency.Note(took)
	if change.Objective > 0 && took > change.Objective {
		c.late.Inc(1)
	}
}

// updateGauges updates the gauges. excluded is the number of executors that get no new work,
// by reason. updateGauges is called every waitsInterval. The term's mu is held.
func (t *term) updateGauges(excluded map[plan.Exclusion]int) {
	c := t.owner.metrics
	silent, bounded := 0, 0
	for id, sess := range t.sessions {
		_, recorded := t.recordedLeaseEnds[id]
		switch {
		case sess.silent:
			silent++
		case recorded:
			bounded++
		}
	}
	c.executors.Update(int64(len(t.sessions)))
	c.silent.Update(int64(silent))
	c.slow.Update(int64(t.plan.CountSlow(t.owner.clock.Now())))
	c.staying.Update(int64(t.plan.RunsInEvacuated()))
	c.bounded.Update(int64(bounded))
	for x, g := range c.excluded {
		g.Update(int64(excluded[x]))
	}
	c.waiting.Update(int64(t.plan.Waiting()))
	c.lag.Update(t.lag.smoothed.Milliseconds())
	c.paused.Update(0)
	if t.paused {
		c.paused.Update(1)
	}
}

// reset zeroes the gauges that only an owner maintains.
func (c *ownerMetrics) reset() {
	for _, g := range []metrics.Gauge{c.executors, c.silent, c.slow, c.staying, c.bounded, c.waiting, c.paused, c.lag, c.oversize, c.deferred} {
		g.Update(0)
	}
	for _, g := range c.excluded {
		g.Update(0)
	}
}
