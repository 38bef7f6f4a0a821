package jobs

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/roster"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/hold"
	"github.com/balsamford/balsamford/placer/internal/queue"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// Table is the platform's table; a *store.Client is one.
type Table interface {
	Get(ctx context.Context, table, key string) (store.Row, error)
	Scan(ctx context.Context, table, prefix string) ([]store.Row, error)
	Commit(ctx context.Context, ops []store.Op) error
}

// Queue queues tasks and decides where they run; a *queue.Dispatcher is one.
type Queue interface {
	Submit(item sched.Item) error
	Cancel(id string) bool
	Fits(needs wire.Needs, tasks int) bool
	Room(needs wire.Needs, tasks int) int
	Backlog() int
	Started(o queue.Order)
	Unsent(o queue.Order) bool
	Ended(o queue.Order, ok bool)
}

// Client calls workers; a *point.Client is one.
type Client interface {
	Start(ctx context.Context, address string, in point.Start) error
	Stop(ctx context.Context, address string, in point.Stop) error
	View(ctx context.Context, address string) (point.View, error)
}

// Owner owns endpoints and authorizes calls to them; a *hold.Keeper is one.
type Owner interface {
	Enter(endpoint string, epoch uint64) (*hold.Pass, error)
	Control(endpoint string) (*hold.Pass, error)
	Leaving(endpoint string)
	Ack(endpoint string, seq uint64)
	Ownership(endpoint string) *hold.Ownership
	Held(endpoint string) bool
	Owned() []string
	Known() []string
	MaxLeaseTime() time.Duration
	Superseded(endpoint string, epoch uint64)
}

// Members lists the placers and whether they are alive; a *roster.Roster is one.
type Members interface {
	Live() []roster.Member
	Peers() []roster.Member
	Alive(name string) (roster.Member, bool)
	Silent(name string) time.Duration
}

// Caller calls other placers; a *link.Node is one.
type Caller interface {
	Call(ctx context.Context, address, verb string, in, out any) error
	Open(ctx context.Context, address, verb string) (*link.Stream, error)
}

// Sender sends the events of one request; a *link.Stream is one.
type Sender interface {
	Send(v any) error
}
