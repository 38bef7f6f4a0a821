package daemon

import (
	"errors"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/ledger"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
)

// TestWrittenCancellationIsCarriedOut covers an entry that can't reach a job's
// driver and therefore only sets the cancellation in the job's row.
func TestWrittenCancellationIsCarriedOut(t *testing.T) {
	is := is.New(t)
	z := newZone(t, 2)
	z.addWorkers(2)
	for i := range 2 {
		z.start(i)
	}
	z.eventually("the endpoints are owned", z.owned(2))
	z.submitJob(z.placers[0], jobRequest("a.svc", wire.Service, 2, engine.Body{}))
	z.eventually("the service runs", func() bool { return z.runningTasks() == 2 && z.jobRow("a.svc").Phase == wire.Running })
	key := ledger.Key("a", "a.svc")
	// The driver writes the row too, so read it again after a conflict, like an entry.
	z.eventually("the cancellation is written", func() bool {
		row, err := z.memory.Get(z.ctx, ledger.Jobs, key)
		is.NoErr(err)
		var job wire.Job
		is.NoErr(cbor.Unmarshal(row.Value, &job))
		job.Cancel = true
		ops, err := ledger.Update(key, &job, row.Version, time.Now())
		is.NoErr(err)
		err = z.memory.Commit(z.ctx, ops)
		var conflict *store.ConflictError
		if errors.As(err, &conflict) {
			return false
		}
		is.NoErr(err)
		return true
	})
	z.eventually("the service is stopped", func() bool { return z.runningTasks() == 0 && z.jobRow("a.svc").Outcome == wire.Done })
}
