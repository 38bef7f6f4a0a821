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

// spread makes two workers in a rack that goes to each of the zone's placers.
func (z *zone) spread() {
	names := make([]string, 0, len(z.links))
	for i := range z.links {
		names = append(names, fmt.Sprintf("placer-%d", i))
	}
	for _, name := range names {
		for i := range 100 {
			rack := fmt.Sprintf("r%d", i)
			if owner.Of(hold.Target{Kind: point.Worker, Rack: rack}.Group(), names) == name {
				z.endpoint(name+"-a", point.Worker, rack, cores(4))
				z.endpoint(name+"-b", point.Worker, rack, cores(4))
				break
			}
		}
	}
}

// TestGangAcrossPlacers runs a gang that neither placer's endpoints could run
// alone, over the loss of the placer that drives it and of the other one, which
// owns half of the endpoints. A gang runs as a whole, so what the loss of an
// owner ends is run again with all others.
func TestGangAcrossPlacers(t *testing.T) {
	const lost = 1 // who is killed; the job is submitted to placer 0
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
			z.spread()
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
				z.submit(z.placers[i%2], req)
			}
			if tt.kill >= 0 {
				z.eventually("the gang runs", func() bool { return z.runningAll() == 12 })
				z.placers[tt.kill].kill()
			}
			for i := range tt.gangs {
				id := fmt.Sprintf("a.gang%d", i)
				z.eventually("the gang is done", func() bool { return z.row(id).Outcome == wire.Done })
				is.Equal(z.count(engine.Began, id), 12) // the gang ran on over the kill
			}
			z.judge()
		})
	}
}

// TestBatchTasksAtAnotherPlacer has tasks wait at a placer whose endpoints are
// full, so that some run at the other one's, over the loss of either.
func TestBatchTasksAtAnotherPlacer(t *testing.T) {
	tests := map[string]struct{ kill, left int }{
		"nothing happens":      {kill: -1},
		"the driver is killed": {kill: 0, left: 1},
		"the owner is killed":  {kill: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			z := newZone(t, 2)
			z.spread()
			for i := range 2 {
				z.start(i)
			}
			z.eventually("each owns its endpoints", func() bool {
				_, a := z.placers[0].keeper.Count()
				_, b := z.placers[1].keeper.Count()
				return a == 2 && b == 2
			})
			z.submit(z.placers[0], jobRequest("a.full", wire.Service, 8, engine.Body{}))
			z.eventually("its endpoints are full", func() bool { return z.runningAll() == 8 })
			z.submit(z.placers[0], jobRequest("a.first", wire.Batch, 1, engine.Body{}))
			z.eventually("a task waits", func() bool { return z.placers[0].desk.Backlog() == 1 })
			z.submit(z.placers[0], jobRequest("a.lent", wire.Batch, 24, engine.Body{Work: setup.Duration(time.Second)}))
			z.eventually("tasks run at the other placer", func() bool { return z.count(engine.Began, "a.lent") > 0 })
			if tt.kill >= 0 {
				z.placers[tt.kill].kill()
			}
			var c wire.Cancelled
			z.eventually("the service is cancelled", func() bool {
				return z.caller.Call(z.ctx, z.placers[tt.left].settings.Link, wire.VerbCancel, wire.Lookup{ID: "a.full"}, &c) == nil
			})
			z.eventually("the job is done", func() bool { return z.row("a.lent").Outcome == wire.Done })
			z.judge()
		})
	}
}

// TestStartThatWasNeverAskedFor is the case that a driver died after it had
// written that a task's start was sent, and before it asked the owner of the
// endpoint for it. The owner lives, so its epoch tells the next driver nothing.
func TestStartThatWasNeverAskedFor(t *testing.T) {
	z := newZone(t, 1)
	z.endpoint("w0", point.Worker, "r0", cores(8))
	p := z.start(0)
	z.eventually("the endpoint is owned", z.owned(1))
	epoch, _ := p.keeper.Seat("w0").Owned()
	z.acceptAs(&wire.Job{
		Request: *jobRequest("a.sent", wire.Batch, 1, engine.Body{}), Zone: "a", Phase: wire.Sent, Driver: "placer-dead", Epoch: 1,
		Tasks: []wire.JobTask{{Phase: wire.Sent, Endpoint: "w0", Epoch: epoch, Attempt: 1}},
	})
	z.eventually("the job is done", func() bool { return z.row("a.sent").Outcome == wire.Done })
	z.judge()
}
