package jobs

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/queue"
)

// launchRequest is sent by a job's driver to an owner of endpoints. It starts the
// tasks for which the owner holds capacity. The driver has written their attempts
// before.
type launchRequest struct {
	ID      string       `cbor:"id"`
	Epoch   uint64       `cbor:"epoch"` // of the driver
	Attempt uint32       `cbor:"attempt"`
	Numbers []int        `cbor:"numbers,omitempty"` // indexes of a batch job's tasks; empty for a gang, all of whose tasks start
	Driver  string       `cbor:"driver"`            // name of the placer
	Request wire.Request `cbor:"request"`
}

// Values of startResult.Status, which are sent between placers.
const (
	startUnknown = iota // the start may have been sent, or may still be sent
	started
	notStarted // no start has taken effect and none will
)

// startResult is the result of starting one task.
type startResult struct {
	Task   int    `cbor:"task"`
	Status int    `cbor:"fate,omitempty"`
	Avoid  string `cbor:"avoid,omitempty"` // the endpoint if it refused the start
}

// handleLaunch starts the tasks for which capacity is held here, at most once. If
// none is held the reply has no results, since an earlier copy of the request may
// have started the tasks.
func (d *Driver) handleLaunch(ctx context.Context, in *launchRequest) peerReply {
	orders, ok := d.reservations.take(in)
	if !ok {
		orders = d.foreignJobs.take(in)
	}
	if len(orders) == 0 {
		return peerReply{Rejected: true}
	}
	d.recordDriver(in.Driver, orders)
	results := make([]startResult, len(orders))
	var g errgroup.Group
	for i, o := range orders {
		g.Go(func() error {
			results[i] = d.sendStart(ctx, &in.Request, o)
			switch results[i].Status {
			case started:
				d.queue.Started(o)
			case notStarted:
				d.releaseOrder(o)
			default:
				d.spawn(func(ctx context.Context) { d.releaseUnanswered(ctx, o) })
			}
			return nil
		})
	}
	_ = g.Wait()
	return peerReply{Results: results}
}

// releaseUnanswered releases the capacity of a start without an answer once it is
// certain that the task hasn't started and never will. It stops the task first, so
// that a delayed start has no effect. The job's driver resolves the task itself.
func (d *Driver) releaseUnanswered(ctx context.Context, o queue.Order) {
	req := stopRequest{ID: o.ID, Task: o.Task, Attempt: o.Attempt, Endpoint: o.Endpoint, Mode: point.ModeStop}
	for d.timer.Sleep(ctx, doubtInterval) == nil {
		ownership := d.owner.Ownership(o.Endpoint)
		if ownership == nil {
			return
		}
		if epoch, owned := ownership.Owned(); !owned || epoch != o.Epoch {
			return // the next owner counts what runs there when it opens the endpoint
		}
		if !d.stopLocal(ctx, req) {
			continue
		}
		view, err := d.view(ctx, ownership.Target().Address)
		if err != nil || view.Owner.Epoch != o.Epoch {
			continue
		}
		if findTask(view.Tasks, o.ID, o.Task, o.Attempt) == nil {
			d.releaseOrder(o)
		}
		return
	}
}

// releaseOrder releases the capacity of a task that didn't start and never will.
func (d *Driver) releaseOrder(o queue.Order) {
	if o.Kind == wire.Batch {
		d.foreignJobs.release(o)
		return
	}
	d.queue.Unsent(o)
}

// maxTaskDrivers bounds the entries of Driver.taskDrivers.
const maxTaskDrivers = 1 << 14

// recordDriver records which placer drives the tasks, so that it is the first to
// be notified of their ends. The entries are only hints, so all are dropped once
// there are maxTaskDrivers.
func (d *Driver) recordDriver(driver string, orders []queue.Order) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.taskDrivers) >= maxTaskDrivers {
		clear(d.taskDrivers)
	}
	for _, o := range orders {
		d.taskDrivers[queue.TaskID(o.ID, o.Task)] = driver
	}
}
