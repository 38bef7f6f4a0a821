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

// TestDriverThatDoesNotKnowItsJob is the case that the write of a process
// which took a job takes effect after that process was replaced by another of
// the same name, which has already looked for jobs of its own.
func TestDriverThatDoesNotKnowItsJob(t *testing.T) {
	is := is.New(t)
	z := newZone(t, 2)
	z.workers(4)
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
	// Both have looked for jobs once a job without a driver has been taken.
	z.accept(jobRequest("a.first", wire.Batch, 1, engine.Body{}))
	z.eventually("jobs were looked for", func() bool { return z.row("a.first").Outcome == wire.Done })
	is.NoErr(z.timer.Sleep(z.ctx, jobLook))
	req := jobRequest("a.late", wire.Batch, 1, engine.Body{})
	z.acceptAs(&wire.Job{Request: *req, Zone: "a", Phase: wire.Queued, Driver: other, Epoch: 1})
	z.eventually("the job is done", func() bool { return z.row("a.late").Outcome == wire.Done })
}

// A cancellation that only the driver's memory has would be lost with the
// driver, so nobody is told that it was taken.
func TestCancellationIsToldOnceItIsWritten(t *testing.T) {
	tests := map[string]store.Faults{
		"platform is down":       {Down: true},
		"platform drops a write": {Drop: 1 << 20},
	}
	for name, faults := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			z := newZone(t, 2)
			z.workers(2)
			for i := range 2 {
				z.start(i)
			}
			z.eventually("the endpoints are owned", z.owned(2))
			z.submit(z.placers[0], jobRequest("a.svc", wire.Service, 1, engine.Body{}))
			z.eventually("the service runs", func() bool { return z.runningAll() == 1 && z.row("a.svc").Phase == wire.Running })
			for i := range z.placers {
				z.memory.SetFaults(faults)
				var c wire.Cancelled
				err := z.caller.Call(z.ctx, z.placers[i].settings.Link, wire.VerbCancel, wire.Lookup{ID: "a.svc"}, &c)
				is.True(err != nil) // not written, so not told
			}
			z.memory.SetFaults(store.Faults{})
			z.eventually("the service is stopped", func() bool { return z.row("a.svc").Outcome == wire.Done })
		})
	}
}

// acceptAs writes a job's row that names a driver.
func (z *zone) acceptAs(job *wire.Job) {
	z.t.Helper()
	is := is.New(z.t)
	ops, err := ledger.Create(ledger.Key("a", job.Request.ID), job, "entry")
	is.NoErr(err)
	is.NoErr(z.memory.Commit(z.ctx, ops))
}

// jobLook is longer than two looks for jobs of the zone are apart.
const jobLook = 7 * time.Second
