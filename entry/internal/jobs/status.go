package jobs

import "github.com/balsamford/balsamford/coord/wire"

// Status says what became of an attempt to accept a job.
type Status string

// The statuses. Taken means that the id belongs to an earlier job; whether it
// is the same one is for the caller to see. Lost means that the job may have
// been accepted. Gone means that the id is so old that what was known of it may
// have been deleted.
const (
	Created Status = "created" // the row is written
	Held    Status = "held"    // two hosts hold it until the row can be written
	Taken   Status = "taken"
	Refused Status = "refused" // nothing holds it
	Lost    Status = "lost"
	Gone    Status = "gone"
)

// View is a job as far as it is known.
type View struct {
	Job  wire.Job `cbor:"job"`
	Held bool     `cbor:"held,omitempty"` // not yet written
}
