package jobs

import (
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/queue"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// grant is the capacity that an owner of endpoints holds for one task.
type grant struct {
	Task     int        `cbor:"task"`
	Endpoint string     `cbor:"endpoint"`
	Epoch    uint64     `cbor:"epoch"` // of the endpoint's owner
	Needs    wire.Needs `cbor:"needs"`
}

// order returns the start order for the granted capacity.
func (g *grant) order(req *reserveRequest) queue.Order {
	return queue.Order{Epoch: g.Epoch, Decision: sched.Decision{
		ID: req.ID, Task: g.Task, Attempt: req.Attempt, Endpoint: g.Endpoint, Needs: g.Needs, Kind: wire.Gang,
	}}
}
