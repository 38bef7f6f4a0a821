package jobs

import (
	"context"
	"errors"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/wire"
)

// Job returns how a job stands, from memory if it is driven here.
func (d *Driver) Job(ctx context.Context, id string) (*wire.Job, error) {
	if j := d.find(id); j != nil {
		row := j.snapshot()
		return &row, nil
	}
	row, _, err := d.read(ctx, id)
	return row, err
}

// Cancel ends a job. What runs is stopped; what waits is never started. It
// returns an error if that couldn't be written, since the next driver wouldn't
// know of it.
func (d *Driver) Cancel(ctx context.Context, id string) (wire.Cancelled, error) {
	j := d.find(id)
	if j == nil {
		return d.cancelThere(ctx, id)
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

// cancelThere cancels a job that this placer doesn't drive: its driver is
// asked, or the wish is written into its row for the next one.
func (d *Driver) cancelThere(ctx context.Context, id string) (wire.Cancelled, error) {
	row, _, err := d.read(ctx, id)
	var missing *store.MissingError
	if errors.As(err, &missing) {
		return wire.Cancelled{}, nil
	}
	if err != nil || row.Outcome != "" {
		return wire.Cancelled{Found: err == nil}, err
	}
	if row.Driver == d.name {
		d.unsure.Store(true)
	} else if m, alive := d.members.Alive(row.Driver); alive {
		ctx, cancel := context.WithTimeout(ctx, noteTimeout)
		defer cancel()
		var out wire.Cancelled
		err := d.caller.Call(ctx, m.Link, wire.VerbCancel, wire.Lookup{ID: id}, &out)
		if err == nil {
			return out, nil
		}
	}
	return wire.Cancelled{Found: true}, d.wish(ctx, id)
}

// cancel marks a job as cancelled, drops what waits and stops what runs.
func (d *Driver) cancel(j *job) {
	j.mu.Lock()
	first := !j.row.Cancel
	j.row.Cancel = true
	if first {
		j.editLocked()
	}
	j.mu.Unlock()
	d.giveUp(j, wire.ReasonCancel)
	d.spawn(func(ctx context.Context) { d.stopAll(ctx, j) })
}

// stopAll stops all tasks of a job that may run. A start that is still under
// way finds its task stopped.
func (d *Driver) stopAll(ctx context.Context, j *job) {
	for _, h := range j.halts() {
		d.halt(ctx, h)
	}
}

func (j *job) halts() []halt {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []halt
	for n := range j.tasks {
		if j.tasks[n].live {
			row := &j.row.Tasks[n]
			out = append(out, halt{ID: j.row.Request.ID, Task: n, Attempt: row.Attempt, Endpoint: row.Endpoint, Mode: point.ModeStop})
		}
	}
	return out
}

// wish writes a caller's wish to cancel into the row of a job that is driven
// elsewhere or nowhere.
func (d *Driver) wish(ctx context.Context, id string) error {
	for range maxTakes {
		row, version, err := d.read(ctx, id)
		if err != nil {
			return err
		}
		if row.Cancel || row.Outcome != "" {
			return nil
		}
		row.Cancel = true
		err = d.claim(ctx, row, version)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return &UnwrittenError{ID: id}
}
