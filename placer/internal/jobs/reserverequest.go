package jobs

import (
	"time"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/desk"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// book asks the owner of endpoints to keep room for some tasks of a gang that
// another placer drives, until it is asked to launch them. It has to be said
// again and again: what isn't asked for any more is given up.
type reserveRequest struct {
	ID      string        `cbor:"id"`
	Epoch   uint64        `cbor:"epoch"` // of the driver
	Attempt uint32        `cbor:"attempt"`
	Numbers []int         `cbor:"numbers"` // of the tasks
	Team    string        `cbor:"team"`
	Queue   string        `cbor:"queue"`
	Name    string        `cbor:"name,omitempty"`
	Needs   wire.Needs    `cbor:"needs"`
	Runtime time.Duration `cbor:"runtime,omitempty"`
	Urgent  bool          `cbor:"urgent,omitempty"`
	Once    bool          `cbor:"once,omitempty"`
	Avoid   []string      `cbor:"avoid,omitempty"`
	Release bool          `cbor:"drop,omitempty"` // gives the room back
}

// newBook returns what asks for room for some tasks of an item.
func newReserveRequest(item *sched.Item, epoch uint64, numbers []int) *reserveRequest {
	return &reserveRequest{
		ID: item.ID, Epoch: epoch, Attempt: item.Attempt, Numbers: numbers, Team: item.Team, Queue: item.Queue,
		Name: item.Name, Needs: item.Needs, Runtime: item.Runtime, Urgent: item.Urgent, Once: item.Once, Avoid: item.Avoid,
	}
}

func (r *reserveRequest) item() sched.Item {
	return sched.Item{
		ID: r.ID, Attempt: r.Attempt, Team: r.Team, Queue: r.Queue, Kind: wire.Gang, Name: r.Name, Needs: r.Needs,
		Tasks: len(r.Numbers), Numbers: r.Numbers, Runtime: r.Runtime, Urgent: r.Urgent, Once: r.Once, Avoid: r.Avoid,
	}
}

// booked is the room that is kept for one task.
type grant struct {
	Task     int        `cbor:"task"`
	Endpoint string     `cbor:"endpoint"`
	Epoch    uint64     `cbor:"epoch"` // of the endpoint's owner
	Needs    wire.Needs `cbor:"needs"`
}

// order returns the order that the room stands for.
func (g *grant) order(req *reserveRequest) desk.Order {
	return desk.Order{Epoch: g.Epoch, Decision: sched.Decision{
		ID: req.ID, Task: g.Task, Attempt: req.Attempt, Endpoint: g.Endpoint, Needs: g.Needs, Kind: wire.Gang,
	}}
}
