package jobs

import (
	"context"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"github.com/balsamford/balsamford/coord/ledger"
	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/wire"
)

// maxTakeoverTries bounds the conditional writes of one change to a row that this
// placer doesn't drive.
const maxTakeoverTries = 4

// Place takes a job over unless another live placer drives it, and sends its phases
// and its end on out. Once a Queued event is sent this placer drives the job even if
// the stream breaks. The error is a *link.RemoteError or that of out.
func (d *Driver) Place(ctx context.Context, req *wire.Request, out Sender) error {
	j, row, err := d.takeOver(ctx, req.ID)
	if err != nil {
		return remoteError(err)
	}
	event := wire.Event{ID: req.ID, Attempt: req.Attempt, Phase: wire.Queued}
	if j == nil {
		return out.Send(finalEvent(&event, row))
	}
	if err := out.Send(&event); err != nil {
		return nil
	}
	return d.streamEvents(ctx, j, event, out)
}

// streamEvents sends the changes of the job's phase until it ends.
func (d *Driver) streamEvents(ctx context.Context, j *job, event wire.Event, out Sender) error {
	for {
		row, replaced, changed := j.watch()
		if row.Outcome != "" {
			return out.Send(finalEvent(&event, &row))
		}
		if replaced {
			return remoteError(&ReplacedError{ID: row.Request.ID})
		}
		if row.Phase != event.Phase {
			event.Phase = row.Phase
			if err := out.Send(&event); err != nil {
				return nil
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil
		}
	}
}

// finalEvent returns the event that ends the stream of a job.
func finalEvent(event *wire.Event, row *wire.Job) *wire.Event {
	event.Phase, event.Outcome, event.Reason = wire.Ended, row.Outcome, row.Reason
	for i := range row.Tasks {
		event.Code = max(event.Code, row.Tasks[i].Code)
	}
	return event
}

// remoteError converts err into an error that can be sent to another process.
func remoteError(err error) error {
	var driven *DrivenError
	if errors.As(err, &driven) {
		return &link.RemoteError{Code: wire.ReasonDuplicate, Text: err.Error()}
	}
	var missing *store.MissingError
	if errors.As(err, &missing) {
		return &link.RemoteError{Code: wire.ReasonGone, Text: err.Error()}
	}
	return &link.RemoteError{Code: wire.ReasonRoute, Text: err.Error()}
}

// takeOver makes this placer the driver of the job. It returns the job, or its row if
// it has ended. The error is a *DrivenError if another live placer drives the job.
func (d *Driver) takeOver(ctx context.Context, id string) (*job, *wire.Job, error) {
	var failed error
	for range maxTakeoverTries {
		if j := d.find(id); j != nil {
			return j, nil, nil
		}
		row, version, err := d.readRow(ctx, id)
		if err != nil {
			return nil, nil, err
		}
		if row.Outcome != "" {
			return nil, row, nil
		}
		if m, alive := d.members.Alive(row.Driver); row.Driver != d.name && alive && !m.Leaving {
			return nil, nil, &DrivenError{ID: id, Driver: row.Driver}
		}
		row.Driver = d.name
		row.Epoch++
		if failed = d.updateRow(ctx, row, version); failed == nil {
			return d.adopt(row, version+1), nil, nil
		}
		var conflict *store.ConflictError
		if errors.As(failed, &conflict) {
			continue
		}
		// The write may have taken effect. This placer drives a job only
		// under an epoch whose write was confirmed, so the next try reads the
		// row again and takes the following epoch.
		d.needScan.Store(true)
		if err := d.timer.Sleep(ctx, retryDelay); err != nil {
			return nil, nil, err
		}
	}
	// One of the writes may have named this placer, and only this placer can
	// notice that it doesn't drive the job.
	d.needScan.Store(true)
	return nil, nil, failed
}

// key returns the key of a job's rows.
func (d *Driver) key(id string) string { return ledger.Key(d.zone, id) }

// readRow reads a job's row and its version.
func (d *Driver) readRow(ctx context.Context, id string) (*wire.Job, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := d.table.Get(ctx, ledger.Jobs, d.key(id))
	if err != nil {
		return nil, 0, err
	}
	j := new(wire.Job)
	if err := cbor.Unmarshal(row.Value, j); err != nil {
		return nil, 0, &RowError{Key: row.Key, Err: err}
	}
	return j, row.Version, nil
}

// updateRow writes a job's row under the condition that it has version.
func (d *Driver) updateRow(ctx context.Context, row *wire.Job, version uint64) error {
	ops, err := ledger.Update(d.key(row.Request.ID), row, version, d.timer.Now())
	if err != nil {
		return &RowError{Key: d.key(row.Request.ID), Err: err}
	}
	return d.commit(ctx, ops)
}

// adopt starts driving a job whose row names this placer.
func (d *Driver) adopt(row *wire.Job, version uint64) *job {
	fresh := newJob(d.key(row.Request.ID), row, version)
	if row.Request.Budget > 0 {
		fresh.deadline = d.timer.Now().Add(row.Request.Budget)
	}
	d.mu.Lock()
	j := d.jobs[row.Request.ID]
	added := j == nil
	if added {
		j = fresh
		d.jobs[row.Request.ID] = j
	}
	d.counts.driven.Update(int64(len(d.jobs)))
	d.mu.Unlock()
	if !added {
		// Another call took the same job with an earlier epoch.
		j.mu.Lock()
		j.row.Epoch, j.version = max(j.row.Epoch, row.Epoch), max(j.version, version)
		j.mu.Unlock()
		return j
	}
	d.reservations.releaseJob(row.Request.ID)
	d.foreignJobs.releaseJob(row.Request.ID)
	if row.Epoch > 1 {
		d.counts.takeovers.Inc(1)
	}
	if row.Cancel {
		d.cancel(j)
	}
	d.submit(j)
	return j
}
