package exec

import (
	"context"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/placer/internal/desk"
	"github.com/balsamford/balsamford/placer/internal/hold"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// Client calls executors; a *point.Client is one.
type Client interface {
	Run(ctx context.Context, address string, in point.Start) (*point.Answer, error)
	Stop(ctx context.Context, address string, in point.Stop) error
	View(ctx context.Context, address string) (point.View, error)
}

// Queue decides where requests run; a *desk.Desk is one.
type Queue interface {
	Queue(item sched.Item) (*desk.Ticket, error)
	Started(o desk.Order)
	Unsent(o desk.Order) bool
	Ended(o desk.Order, ok bool)
	Fate(o desk.Order) (point.State, bool)
}

// Owner lets calls to endpoints pass; a *hold.Keeper is one.
type Owner interface {
	Enter(endpoint string, epoch uint64) (*hold.Pass, error)
	Leaving(endpoint string)
}

// Sender takes the events of one request; a *link.Stream is one.
type Sender interface {
	Send(v any) error
}
