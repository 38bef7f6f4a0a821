package jobs

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/ledger"
	"github.com/balsamford/balsamford/coord/owner"
	"github.com/balsamford/balsamford/coord/store"
)

const (
	// sweepKey is hashed over the live placers of a zone to choose the one that
	// deletes expired jobs.
	sweepKey = "sweep"
	// sweepsPerRetention is the number of sweeps within the time for which
	// ended jobs are kept.
	sweepsPerRetention = 24
	// sweepBatchSize bounds the jobs that one transaction deletes.
	sweepBatchSize = 16
	// sweepBatchDelay is the mean delay between two batches.
	sweepBatchDelay = time.Second
	// maxSweepBatches bounds the batches of one sweep.
	maxSweepBatches = 256
)

// expiredJob is an ended job whose retention time has passed.
type expiredJob struct {
	key     string
	version uint64 // of its ledger.End
}

// sweepLoop deletes expired jobs. One placer does it for the zone. Nothing is deleted
// if Parts.History is 0.
func (d *Driver) sweepLoop(ctx context.Context) {
	if d.history <= 0 {
		return
	}
	for d.timer.Sleep(ctx, jittered(d.history/sweepsPerRetention)) == nil {
		if owner.Of(sweepKey, d.liveNames()) == d.name {
			d.sweep(ctx)
		}
	}
}

// jittered returns a random duration from 0.75 t to 1.25 t.
func jittered(t time.Duration) time.Duration {
	return t*3/4 + rand.N(t/2+1) //nolint:gosec // Jitter needs no secure randomness.
}

// sweep deletes expired jobs in batches. It stops at the first error; the next sweep
// deletes the rest.
func (d *Driver) sweep(ctx context.Context) {
	list, err := d.expiredJobs(ctx)
	for n := 0; err == nil && len(list) > 0 && n < maxSweepBatches; n++ {
		batch := list[:min(len(list), sweepBatchSize)]
		list = list[len(batch):]
		if err = d.deleteBatch(ctx, batch); err == nil && len(list) > 0 {
			err = d.timer.Sleep(ctx, jittered(sweepBatchDelay))
		}
	}
	if err != nil && ctx.Err() == nil {
		d.log.Warn("cannot delete expired jobs", zap.Error(err))
	}
}

// expiredJobs reads the index of ended jobs and returns the expired ones.
func (d *Driver) expiredJobs(ctx context.Context) ([]expiredJob, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	rows, err := d.table.Scan(ctx, ledger.Ends, ledger.Prefix(d.zone))
	if err != nil {
		return nil, err
	}
	now := d.timer.Now()
	var list []expiredJob
	for i := range rows {
		var end ledger.End
		if err := cbor.Unmarshal(rows[i].Value, &end); err != nil {
			d.log.Error("cannot decode index entry of ended job", zap.String("key", rows[i].Key), zap.Error(err))
			continue
		}
		if end.Since(now) >= d.history {
			list = append(list, expiredJob{key: rows[i].Key, version: rows[i].Version})
		}
	}
	return list, nil
}

// deleteBatch deletes a batch of jobs in one transaction. On a conflict it deletes
// them one by one and skips those that were changed concurrently.
func (d *Driver) deleteBatch(ctx context.Context, batch []expiredJob) error {
	var all []store.Op
	var each [][]store.Op
	for _, e := range batch {
		ops, err := d.deleteOps(ctx, e)
		if err != nil {
			return err
		}
		if ops != nil {
			all, each = append(all, ops...), append(each, ops)
		}
	}
	if len(all) == 0 {
		return nil
	}
	err := d.commit(ctx, all)
	var conflict *store.ConflictError
	if !errors.As(err, &conflict) {
		return d.countDeleted(err, len(each))
	}
	for _, ops := range each {
		err := d.commit(ctx, ops)
		if errors.As(err, &conflict) {
			continue
		}
		if err := d.countDeleted(err, 1); err != nil {
			return err
		}
	}
	return nil
}

// countDeleted counts n deleted jobs if err is nil, and returns err.
func (d *Driver) countDeleted(err error, n int) error {
	if err == nil {
		d.counts.deleted.Inc(int64(n))
	}
	return err
}

// deleteOps returns the transaction that deletes a job. It returns nil if the job is
// open or its row can't be decoded.
func (d *Driver) deleteOps(ctx context.Context, e expiredJob) ([]store.Op, error) {
	row, version, err := d.readRow(ctx, strings.TrimPrefix(e.key, ledger.Prefix(d.zone)))
	var missing *store.MissingError
	var bad *RowError
	switch {
	case errors.As(err, &missing):
		return ledger.Remove(e.key, 0, e.version), nil
	case errors.As(err, &bad):
		d.log.Error("cannot decode row of ended job", zap.String("key", e.key), zap.Error(err))
		return nil, nil
	case err != nil:
		return nil, err
	case row.Outcome == "":
		d.log.Error("open job has an entry in the index of ended jobs", zap.String("key", e.key))
		return nil, nil
	}
	return ledger.Remove(e.key, version, e.version), nil
}
