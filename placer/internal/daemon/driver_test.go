package daemon

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/ledger"
	"github.com/balsamford/balsamford/coord/owner"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
)

// TestDriverThatDoesNotKnowItsJob covers a delayed write: a process takes a job
// over, and its write to the job's row takes effect only after a new process of
// the same name has started and has already scanned for its jobs.
func TestDriverThatDoesNotKnowItsJob(t *testing.T) {
	is := is.New(t)
	z := newZone(t, 2)
	z.addWorkers(4)
	for i := range 2 {
		z.start(i)
	}
	z.eventually("the endpoints are owned", z.owned(4))
	z.eventually("both live", func() bool {
		return len(z.placers[0].members.Names()) == 2 && len(z.placers[1].members.Names()) == 2
	})
	names := []string{"placer-0", "placer-1"}
	other := names[0]
	if owner.Of("scan", names) == other {
		other = names[1]
	}
	// Once a job without a driver has run, both placers have scanned for jobs.
	z.writeJob(jobRequest("a.first", wire.Batch, 1, engine.Body{}))
	z.eventually("placers have scanned for jobs", func() bool { return z.jobRow("a.first").Outcome == wire.Done })
	is.NoErr(z.timer.Sleep(z.ctx, jobScanTime))
	req := jobRequest("a.late", wire.Batch, 1, engine.Body{})
	z.writeJobRow(&wire.Job{Request: *req, Zone: "a", Phase: wire.Queued, Driver: other, Epoch: 1})
	z.eventually("the job is done", func() bool { return z.jobRow("a.late").Outcome == wire.Done })
}

// A cancellation that isn't written to the job's row yet would be lost with the
// driver, so it must not be confirmed to the caller.
func TestCancellationIsToldOnceItIsWritten(t *testing.T) {
	tests := map[string]store.Faults{
		"platform is down":       {Down: true},
		"platform drops a write": {Drop: 1 << 20},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			z := newZone(t, 2)
			z.addWorkers(2)
			for i := range 2 {
				z.start(i)
			}
			z.eventually("the endpoints are owned", z.owned(2))
			z.submitJob(z.placers[0], jobRequest("a.svc", wire.Service, 1, engine.Body{}))
			z.eventually("the service runs", func() bool { return z.runningTasks() == 1 && z.jobRow("a.svc").Phase == wire.Running })
			for i := range z.placers {
				z.memory.SetFaults(faults)
				var c wire.Cancelled
				err := z.caller.Call(z.ctx, z.placers[i].settings.Link, wire.VerbCancel, wire.Lookup{ID: "a.svc"}, &c)
				is.True(err != nil) // not written, so not confirmed
			}
			z.memory.SetFaults(store.Faults{})
			z.eventually("the service is stopped", func() bool { return z.jobRow("a.svc").Outcome == wire.Done })
		})
	}
}

// writeJobRow writes a job's row as it is, for instance with a driver.
func (z *zone) writeJobRow(job *wire.Job) {
	z.t.Helper()
	is := is.New(z.t)
	ops, err := ledger.Create(ledger.Key("a", job.Request.ID), job, "entry")
	is.NoErr(err)
	is.NoErr(z.memory.Commit(z.ctx, ops))
}

// jobScanTime is longer than the time between two scans for the zone's jobs.
const jobScanTime = 7 * time.Second
