package jobs

import "github.com/balsamford/balsamford/coord/wire"

// Status is the result of an attempt to accept a job.
type Status string

// The statuses. With Taken the id belongs to an earlier job, and the caller must
// compare the requests to find out whether it is the same one. With InDoubt it is
// unknown whether the job was accepted. With Gone the id is so old that its job may
// have been deleted, so the id isn't accepted.
const (
	Created Status = "created" // the row has been written
	Held    Status = "held"    // two hosts hold the job until the row can be written
	Taken   Status = "taken"
	Refused Status = "refused" // the job was not stored anywhere
	InDoubt Status = "lost"
	Gone    Status = "gone"
)

// View is a job as this host or the platform has it.
type View struct {
	Job  wire.Job `cbor:"job"`
	Held bool     `cbor:"held,omitempty"` // this host holds the job; its row may not have been written
}
