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
type book struct {
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
	Drop    bool          `cbor:"drop,omitempty"` // gives the room back
}

// newBook returns what asks for room for some tasks of an item.
func newBook(item *sched.Item, epoch uint64, numbers []int) *book {
	return &book{
		ID: item.ID, Epoch: epoch, Attempt: item.Attempt, Numbers: numbers, Team: item.Team, Queue: item.Queue,
		Name: item.Name, Needs: item.Needs, Runtime: item.Runtime, Urgent: item.Urgent, Once: item.Once, Avoid: item.Avoid,
	}
}

func (b *book) item() sched.Item {
	return sched.Item{
		ID: b.ID, Attempt: b.Attempt, Team: b.Team, Queue: b.Queue, Kind: wire.Gang, Name: b.Name, Needs: b.Needs,
		Tasks: len(b.Numbers), Numbers: b.Numbers, Runtime: b.Runtime, Urgent: b.Urgent, Once: b.Once, Avoid: b.Avoid,
	}
}

// booked is the room that is kept for one task.
type booked struct {
	Task     int        `cbor:"task"`
	Endpoint string     `cbor:"endpoint"`
	Epoch    uint64     `cbor:"epoch"` // of the endpoint's owner
	Needs    wire.Needs `cbor:"needs"`
}

// order returns the order that the room stands for.
func (k *booked) order(b *book) desk.Order {
	return desk.Order{Epoch: k.Epoch, Decision: sched.Decision{
		ID: b.ID, Task: k.Task, Attempt: b.Attempt, Endpoint: k.Endpoint, Needs: k.Needs, Kind: wire.Gang,
	}}
}
