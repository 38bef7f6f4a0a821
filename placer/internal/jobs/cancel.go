package jobs

import (
	"context"
	"errors"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/wire"
)

// Job returns the current row of a job, from memory if this placer drives it. The
// error is a *RowError or that of the table.
func (d *Driver) Job(ctx context.Context, id string) (*wire.Job, error) {
	if j := d.find(id); j != nil {
		row := j.snapshot()
		return &row, nil
	}
	row, _, err := d.readRow(ctx, id)
	return row, err
}

// Cancel cancels a job: running tasks are stopped, and waiting ones are never
// started. It returns an error if the cancellation couldn't be written, since the
// next driver would not see it.
func (d *Driver) Cancel(ctx context.Context, id string) (wire.Cancelled, error) {
	j := d.find(id)
	if j == nil {
		return d.cancelRemote(ctx, id)
	}
	d.cancel(j)
	out := wire.Cancelled{Found: true}
	if err := d.flush(ctx, j); err != nil {
		var replaced *ReplacedError
		if errors.As(err, &replaced) {
			return wire.Cancelled{}, nil
		}
		return out, err
	}
	out.NotRun = j.snapshot().Outcome == wire.NotRun
	return out, nil
}

// cancelRemote cancels a job that this placer doesn't drive. It forwards the
// request to the driver, or if that fails writes it into the row for the next
// driver.
func (d *Driver) cancelRemote(ctx context.Context, id string) (wire.Cancelled, error) {
	row, _, err := d.readRow(ctx, id)
	var missing *store.MissingError
	if errors.As(err, &missing) {
		return wire.Cancelled{}, nil
	}
	if err != nil || row.Outcome != "" {
		return wire.Cancelled{Found: err == nil}, err
	}
	if row.Driver == d.name {
		d.needScan.Store(true)
	} else if m, alive := d.members.Alive(row.Driver); alive {
		ctx, cancel := context.WithTimeout(ctx, peerTimeout)
		defer cancel()
		var out wire.Cancelled
		err := d.caller.Call(ctx, m.Link, wire.VerbCancel, wire.Lookup{ID: id}, &out)
		if err == nil {
			return out, nil
		}
	}
	return wire.Cancelled{Found: true}, d.writeCancel(ctx, id)
}

// cancel marks a job as cancelled, ends its waiting tasks and stops its live ones.
func (d *Driver) cancel(j *job) {
	j.mu.Lock()
	first := !j.row.Cancel
	j.row.Cancel = true
	if first {
		j.changeLocked()
	}
	j.mu.Unlock()
	d.endUnstarted(j, wire.ReasonCancel)
	d.spawn(func(ctx context.Context) { d.stopAll(ctx, j) })
}

// stopAll stops all live tasks of a job. The endpoint refuses a start that arrives
// after the stop.
func (d *Driver) stopAll(ctx context.Context, j *job) {
	for _, req := range j.stopRequests() {
		d.stopTask(ctx, req)
	}
}

// stopRequests returns the stops of all live tasks.
func (j *job) stopRequests() []stopRequest {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []stopRequest
	for n := range j.tasks {
		if j.tasks[n].live {
			row := &j.row.Tasks[n]
			out = append(out, stopRequest{ID: j.row.Request.ID, Task: n, Attempt: row.Attempt, Endpoint: row.Endpoint, Mode: point.ModeStop})
		}
	}
	return out
}

// writeCancel writes a cancellation into the row of a job that this placer doesn't
// drive. The error is an *UnwrittenError if the row changed at each attempt.
func (d *Driver) writeCancel(ctx context.Context, id string) error {
	for range maxTakeoverTries {
		row, version, err := d.readRow(ctx, id)
		if err != nil {
			return err
		}
		if row.Cancel || row.Outcome != "" {
			return nil
		}
		row.Cancel = true
		err = d.updateRow(ctx, row, version)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return &UnwrittenError{ID: id}
}
