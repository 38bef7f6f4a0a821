package daemon

import (
	"testing"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
)

// TestPlacersTellUsage covers a team with a high usage at one placer. The other
// placers must learn of it, so that they can include it in the team's share.
func TestPlacersTellUsage(t *testing.T) {
	is := is.New(t)
	z := newZone(t, 2)
	z.addWorkers(2)
	a, b := z.start(0), z.start(1)
	z.eventually("the endpoints are owned", z.owned(2))
	req := jobRequest("a.svc", wire.Service, 2, engine.Body{})
	z.submitJob(a, req)
	z.eventually("the service runs", func() bool { return z.runningTasks() == 2 })
	told := func() int64 { return a.sched.RemoteUsage(req.Team).CPU + b.sched.RemoteUsage(req.Team).CPU }
	z.eventually("the other placer knows what it uses", func() bool { return told() == 2*req.Needs.CPU })
	var c wire.Cancelled
	is.NoErr(z.caller.Call(z.ctx, a.settings.Link, wire.VerbCancel, wire.Lookup{ID: req.ID}, &c))
	z.eventually("the other placer knows that it ended", func() bool { return told() == 0 })
}
