package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/owner"
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/hold"
	"github.com/balsamford/balsamford/standin/engine"
)

// rackOfPlacer1 returns the name of a rack whose endpoints of the given kind
// placer-1 owns when both placers are alive.
func rackOfPlacer1(t *testing.T, kind point.Kind) string {
	t.Helper()
	for i := range 100 {
		rack := fmt.Sprintf("r%d", i)
		group := hold.Target{Kind: kind, Rack: rack}.Group()
		if owner.Of(group, []string{"placer-0", "placer-1"}) == "placer-1" {
			return rack
		}
	}
	t.Fatal("no rack is assigned to placer-1")
	return ""
}

// TestJobFollowsItsEndpoints covers a job that waits for capacity at a placer
// while the endpoints move to another placer.
func TestJobFollowsItsEndpoints(t *testing.T) {
	const outage = 5 * time.Second // longer than the time between two scans for such jobs
	tests := map[string]struct{ faults store.Faults }{
		"platform answers":       {},
		"platform loses answers": {faults: store.Faults{Lose: true}},
		"platform is down":       {faults: store.Faults{Down: true}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			z := newZone(t, 2)
			e := z.addEndpoint("w0", point.Worker, rackOfPlacer1(t, point.Worker), cores(8))
			first := z.start(0)
			z.eventually("the endpoint is owned", z.owned(1))
			full := jobRequest("a.full", wire.Service, 1, engine.Body{})
			full.Needs.CPU = 8000
			z.submitJob(first, full)
			z.eventually("the endpoint is full", func() bool { return e.Running() == 1 })
			waits := jobRequest("a.waits", wire.Batch, 2, engine.Body{})
			z.submitJob(first, waits)
			z.eventually("the job waits", func() bool { return z.driverOf("a.waits") == 0 })
			z.start(1)
			z.eventually("the endpoint has moved", func() bool {
				_, n := z.placers[1].keeper.Count()
				return n == 1
			})
			if tt.faults != (store.Faults{}) {
				z.memory.SetFaults(tt.faults)
				is.NoErr(z.timer.Sleep(z.ctx, outage))
				z.memory.SetFaults(store.Faults{})
			}
			var c wire.Cancelled
			z.eventually("the service is cancelled", func() bool {
				return z.caller.Call(z.ctx, first.settings.Link, wire.VerbCancel, wire.Lookup{ID: "a.full"}, &c) == nil
			})
			z.eventually("the job is done", func() bool { return z.jobRow("a.waits").Outcome == wire.Done })
		})
	}
}
