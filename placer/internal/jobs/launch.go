package jobs

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/desk"
)

// launch asks the owner of endpoints to start the tasks for which it keeps
// room. Their attempts have been written.
type launch struct {
	ID      string       `cbor:"id"`
	Epoch   uint64       `cbor:"epoch"` // of the driver
	Attempt uint32       `cbor:"attempt"`
	Numbers []int        `cbor:"numbers,omitempty"` // of a batch job's tasks; a gang's start all
	Driver  string       `cbor:"driver"`
	Request wire.Request `cbor:"request"`
}

// What became of a start.
const (
	unsure = iota // a start may have left, or may still leave
	begun
	unsent // no start has left and none will
)

// fate is what became of the start of one task.
type fate struct {
	Task  int    `cbor:"task"`
	Fate  int    `cbor:"fate,omitempty"`
	Avoid string `cbor:"avoid,omitempty"` // the endpoint, if it refused the start
}

// launched starts tasks for which room is kept here, at most once. If there is
// no such room nothing is said of the tasks: the word may have come twice.
func (d *Driver) launched(ctx context.Context, in *launch) noted {
	orders, ok := d.books.take(in)
	if !ok {
		orders = d.loans.take(in)
	}
	if len(orders) == 0 {
		return noted{Void: true}
	}
	d.hint(in.Driver, orders)
	fates := make([]fate, len(orders))
	var g errgroup.Group
	for i, o := range orders {
		g.Go(func() error {
			fates[i] = d.send(ctx, &in.Request, o)
			switch fates[i].Fate {
			case begun:
				d.queue.Started(o)
			case unsent:
				d.undo(o)
			default:
				d.spawn(func(ctx context.Context) { d.recover(ctx, o) })
			}
			return nil
		})
	}
	_ = g.Wait()
	return noted{Fates: fates}
}

// recover gives the room of a start back that got no answer, once it surely
// hasn't begun and will not. The driver finds out by itself.
func (d *Driver) recover(ctx context.Context, o desk.Order) {
	h := halt{ID: o.ID, Task: o.Task, Attempt: o.Attempt, Endpoint: o.Endpoint, Mode: point.ModeStop}
	for d.timer.Sleep(ctx, doubtPeriod) == nil {
		seat := d.owner.Ownership(o.Endpoint)
		if seat == nil {
			return
		}
		if epoch, owned := seat.Owned(); !owned || epoch != o.Epoch {
			return // the next opening counts what runs there
		}
		if !d.haltHere(ctx, h) {
			continue
		}
		view, err := d.view(ctx, seat.Target().Address)
		if err != nil || view.Owner.Epoch != o.Epoch {
			continue
		}
		if findTask(view.Tasks, o.ID, o.Task, o.Attempt) == nil {
			d.undo(o)
		}
		return
	}
}

// undo gives the room of a start back that surely didn't and won't happen.
func (d *Driver) undo(o desk.Order) {
	if o.Kind == wire.Batch {
		d.loans.undo(o)
		return
	}
	d.queue.Unsent(o)
}

// maxHints bounds the tasks of which it is known who drives them.
const maxHints = 1 << 14

// hint notes who is to be told first of the ends of tasks.
func (d *Driver) hint(driver string, orders []desk.Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.hints) >= maxHints {
		clear(d.hints)
	}
	for _, o := range orders {
		d.hints[desk.TaskID(o.ID, o.Task)] = driver
	}
}
