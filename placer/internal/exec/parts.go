package exec

import (
	"context"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/placer/internal/hold"
	"github.com/balsamford/balsamford/placer/internal/queue"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// Client calls executors; *point.Client implements it.
type Client interface {
	Run(ctx context.Context, address string, in point.Start) (*point.Answer, error)
	Stop(ctx context.Context, address string, in point.Stop) error
	View(ctx context.Context, address string) (point.View, error)
}

// Queue queues requests and decides where they run; *queue.Dispatcher implements it.
type Queue interface {
	Queue(item sched.Item) (*queue.Ticket, error)
	Started(o queue.Order)
	Unsent(o queue.Order) bool
	Ended(o queue.Order, ok bool)
	EndState(o queue.Order) (point.State, bool)
}

// Owner permits calls to the endpoints that are owned; *hold.Keeper implements
// it.
type Owner interface {
	Enter(endpoint string, epoch uint64) (*hold.Pass, error)
	Leaving(endpoint string)
}

// Sender sends the events of one request to its caller; *link.Stream implements
// it.
type Sender interface {
	Send(v any) error
}
