package jobs

import (
	"time"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// reserveRequest is sent by a job's driver to an owner of endpoints. It reserves
// capacity for some tasks of a gang, or queues tasks of a batch job, until the
// driver sends a launchRequest for them. The driver repeats the request to keep
// the reservation; without that it expires after reservationTTL.
type reserveRequest struct {
	ID      string        `cbor:"id"`
	Epoch   uint64        `cbor:"epoch"` // of the driver
	Attempt uint32        `cbor:"attempt"`
	Numbers []int         `cbor:"numbers"` // indexes of the tasks
	Team    string        `cbor:"team"`
	Queue   string        `cbor:"queue"`
	Name    string        `cbor:"name,omitempty"`
	Needs   wire.Needs    `cbor:"needs"`
	Runtime time.Duration `cbor:"runtime,omitempty"`
	Urgent  bool          `cbor:"urgent,omitempty"`
	Once    bool          `cbor:"once,omitempty"` // the job is not idempotent
	Avoid   []string      `cbor:"avoid,omitempty"`
	Release bool          `cbor:"drop,omitempty"` // ends the reservation
}

// newReserveRequest returns the request for the tasks of item with the given
// indexes. epoch is that of the driver.
func newReserveRequest(item *sched.Item, epoch uint64, numbers []int) *reserveRequest {
	return &reserveRequest{
		ID: item.ID, Epoch: epoch, Attempt: item.Attempt, Numbers: numbers, Team: item.Team, Queue: item.Queue,
		Name: item.Name, Needs: item.Needs, Runtime: item.Runtime, Urgent: item.Urgent, Once: item.Once, Avoid: item.Avoid,
	}
}

// item returns the request as an entry for the scheduler's queue.
func (r *reserveRequest) item() sched.Item {
	return sched.Item{
		ID: r.ID, Attempt: r.Attempt, Team: r.Team, Queue: r.Queue, Kind: wire.Gang, Name: r.Name, Needs: r.Needs,
		Tasks: len(r.Numbers), Numbers: r.Numbers, Runtime: r.Runtime, Urgent: r.Urgent, Once: r.Once, Avoid: r.Avoid,
	}
}
