package daemon

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/ledger"
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
)

// Placers delete ended jobs after their retention time, even after an outage of
// the platform or when the placer that deleted them is killed. Jobs that haven't
// ended continue.
func TestEndedJobsAreDeleted(t *testing.T) {
	is := is.New(t)
	z := newZone(t, 2)
	z.history = 3 * time.Second
	z.addWorkers(2)
	for i := range 2 {
		z.start(i)
	}
	z.eventually("the endpoints are owned", z.owned(2))
	z.submitJob(z.placers[0], jobRequest("a.svc", wire.Service, 2, engine.Body{}))
	z.eventually("the service runs", func() bool { return z.jobRow("a.svc").Phase == wire.Running })
	deleted := func(id string) bool {
		_, err := z.memory.Get(z.ctx, ledger.Jobs, ledger.Key("a", id))
		var missing *store.MissingError
		return errors.As(err, &missing)
	}
	batch := func(id string) {
		z.submitJob(z.placers[1], jobRequest(id, wire.Batch, 3, engine.Body{Work: setup.Duration(20 * time.Millisecond)}))
		z.eventually(id+" is done", func() bool { return z.jobRow(id).Outcome == wire.Done })
	}
	batch("a.first")
	z.eventually("the first is deleted", func() bool { return deleted("a.first") })
	batch("a.second")
	z.memory.SetFaults(store.Faults{Down: true})
	is.NoErr(z.timer.Sleep(z.ctx, z.history))
	z.placers[0].kill()
	is.NoErr(<-z.placers[0].done)
	z.memory.SetFaults(store.Faults{})
	z.eventually("the second is deleted", func() bool { return deleted("a.second") })
	z.eventually("the remaining placer drives the service", func() bool { return z.driverOf("a.svc") == 1 })
	is.Equal(z.runningTasks(), 2)
	is.Equal(z.count(engine.Began, "a.svc"), 2)
	for _, table := range []string{ledger.Ends, ledger.Marks, ledger.Opens} {
		rows, err := z.memory.Scan(z.ctx, table, "")
		is.NoErr(err)
		want := 1 // the service
		if table == ledger.Ends {
			want = 0
		}
		is.Equal(len(rows), want)
	}
	z.checkLog()
}
