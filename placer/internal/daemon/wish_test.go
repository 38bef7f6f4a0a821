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

// TestWrittenCancellationIsCarriedOut is the case that an entry can't reach a
// job's driver, which is cut off, and only writes into the row that the job is
// to end.
func TestWrittenCancellationIsCarriedOut(t *testing.T) {
	is := is.New(t)
	z := newZone(t, 2)
	z.workers(2)
	for i := range 2 {
		z.start(i)
	}
	z.eventually("the endpoints are owned", z.owned(2))
	z.submit(z.placers[0], jobRequest("a.svc", wire.Service, 2, engine.Body{}))
	z.eventually("the service runs", func() bool { return z.runningAll() == 2 && z.row("a.svc").Phase == wire.Running })
	key := ledger.Key("a", "a.svc")
	// The driver writes the row too: as an entry does, read again after a conflict.
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
	z.eventually("the service is stopped", func() bool { return z.runningAll() == 0 && z.row("a.svc").Outcome == wire.Done })
}
