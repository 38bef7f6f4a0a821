package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/owner"
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/hold"
	"github.com/balsamford/balsamford/standin/engine"
)

// addWorkersPerPlacer adds, for each placer of the zone, a rack of two workers
// that this placer will own.
func (z *zone) addWorkersPerPlacer() {
	names := make([]string, 0, len(z.links))
	for i := range z.links {
		names = append(names, fmt.Sprintf("placer-%d", i))
	}
	for _, name := range names {
		for i := range 100 {
			rack := fmt.Sprintf("r%d", i)
			if owner.Of(hold.Target{Kind: point.Worker, Rack: rack}.Group(), names) == name {
				z.addEndpoint(name+"-a", point.Worker, rack, cores(4))
				z.addEndpoint(name+"-b", point.Worker, rack, cores(4))
				break
			}
		}
	}
}

// TestGangAcrossPlacers runs a gang that needs the endpoints of both placers,
// while the placer that drives it is killed, or the other one, which owns half
// of the endpoints. If the loss of the owner ended one of its tasks, the whole
// gang would have to run again.
func TestGangAcrossPlacers(t *testing.T) {
	const lost = 1 // the killed placer; the job is submitted to placer 0
	tests := map[string]struct{ kill, gangs int }{
		"nothing happens":      {kill: -1, gangs: 1},
		"two gangs":            {kill: -1, gangs: 2},
		"the driver is killed": {kill: 0, gangs: 1},
		"the owner is killed":  {kill: lost, gangs: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			z := newZone(t, 2)
			z.addWorkersPerPlacer()
			for i := range 2 {
				z.start(i)
			}
			z.eventually("each owns its endpoints", func() bool {
				_, a := z.placers[0].keeper.Count()
				_, b := z.placers[1].keeper.Count()
				return a == 2 && b == 2
			})
			work := setup.Duration(4 * time.Second)
			if tt.kill < 0 {
				work = setup.Duration(300 * time.Millisecond)
			}
			for i := range tt.gangs {
				req := jobRequest(fmt.Sprintf("a.gang%d", i), wire.Gang, 12, engine.Body{Work: work})
				z.submitJob(z.placers[i%2], req)
			}
			if tt.kill >= 0 {
				z.eventually("the gang runs", func() bool { return z.runningTasks() == 12 })
				z.placers[tt.kill].kill()
			}
			for i := range tt.gangs {
				id := fmt.Sprintf("a.gang%d", i)
				z.eventually("the gang is done", func() bool { return z.jobRow(id).Outcome == wire.Done })
				is.Equal(z.count(engine.Began, id), 12) // the gang continued after the kill
			}
			z.checkLog()
		})
	}
}

// TestBatchTasksAtAnotherPlacer submits tasks to a placer whose endpoints are
// full, so that some run at endpoints of the other placer. Either placer may be
// killed meanwhile.
func TestBatchTasksAtAnotherPlacer(t *testing.T) {
	tests := map[string]struct{ kill, left int }{
		"nothing happens":      {kill: -1},
		"the driver is killed": {kill: 0, left: 1},
		"the owner is killed":  {kill: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			z := newZone(t, 2)
			z.addWorkersPerPlacer()
			for i := range 2 {
				z.start(i)
			}
			z.eventually("each owns its endpoints", func() bool {
				_, a := z.placers[0].keeper.Count()
				_, b := z.placers[1].keeper.Count()
				return a == 2 && b == 2
			})
			z.submitJob(z.placers[0], jobRequest("a.full", wire.Service, 8, engine.Body{}))
			z.eventually("its endpoints are full", func() bool { return z.runningTasks() == 8 })
			z.submitJob(z.placers[0], jobRequest("a.first", wire.Batch, 1, engine.Body{}))
			z.eventually("a task waits", func() bool { return z.placers[0].dispatcher.Backlog() == 1 })
			z.submitJob(z.placers[0], jobRequest("a.lent", wire.Batch, 24, engine.Body{Work: setup.Duration(time.Second)}))
			z.eventually("tasks run at the other placer", func() bool { return z.count(engine.Began, "a.lent") > 0 })
			if tt.kill >= 0 {
				z.placers[tt.kill].kill()
			}
			var c wire.Cancelled
			z.eventually("the service is cancelled", func() bool {
				return z.caller.Call(z.ctx, z.placers[tt.left].settings.Link, wire.VerbCancel, wire.Lookup{ID: "a.full"}, &c) == nil
			})
			z.eventually("the job is done", func() bool { return z.jobRow("a.lent").Outcome == wire.Done })
			z.checkLog()
		})
	}
}

// TestStartThatWasNeverAskedFor covers a driver that died after it had recorded
// a task's start as sent, but before it sent the request to the owner of the
// endpoint. The owner is alive and its epoch unchanged, so the next driver can't
// tell from the epoch that the start never happened.
func TestStartThatWasNeverAskedFor(t *testing.T) {
	z := newZone(t, 1)
	z.addEndpoint("w0", point.Worker, "r0", cores(8))
	p := z.start(0)
	z.eventually("the endpoint is owned", z.owned(1))
	epoch, _ := p.keeper.Ownership("w0").Owned()
	z.writeJobRow(&wire.Job{
		Request: *jobRequest("a.sent", wire.Batch, 1, engine.Body{}), Zone: "a", Phase: wire.Sent, Driver: "placer-dead", Epoch: 1,
		Tasks: []wire.JobTask{{Phase: wire.Sent, Endpoint: "w0", Epoch: epoch, Attempt: 1}},
	})
	z.eventually("the job is done", func() bool { return z.jobRow("a.sent").Outcome == wire.Done })
	z.checkLog()
}
