package queue

import (
	"context"

	"github.com/balsamford/balsamford/coord/wire"
)

// Ticket represents a quick request in the queue.
type Ticket struct {
	id         string
	needs      wire.Needs
	dispatcher *Dispatcher
	next       chan Order
	expired    chan struct{} // closed when the deadline passes in the queue
	moved      chan struct{} // closed when no owned executor can run it any more
}

// Wait returns the next decision for the request. The error is an
// *ExpiredError, a *MovedError or the cause of ctx; after an error the request
// is no longer queued.
func (t *Ticket) Wait(ctx context.Context) (Order, error) {
	select {
	case o := <-t.next:
		return o, nil
	case <-t.expired:
		return Order{}, &ExpiredError{ID: t.id}
	case <-t.moved:
		return Order{}, &MovedError{ID: t.id}
	case <-ctx.Done():
		t.Close()
		return Order{}, context.Cause(ctx)
	}
}

// Close removes the request from the queue. A decision that Wait hasn't returned
// is undone.
func (t *Ticket) Close() {
	t.dispatcher.closeTicket(t)
	select {
	case o := <-t.next:
		t.dispatcher.Unsent(o)
	default:
	}
}
