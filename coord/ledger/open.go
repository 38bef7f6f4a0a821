package ledger

import "github.com/balsamford/balsamford/coord/wire"

// Open is the index row of a job that has no outcome yet. Placers scan these
// rows, instead of the jobs themselves, for jobs that have no live driver.
type Open struct {
	Driver string `cbor:"driver,omitempty"` // placer that drives the job
	Cancel bool   `cbor:"cancel,omitempty"` // cancellation was requested
}

func newOpen(job *wire.Job) Open { return Open{Driver: job.Driver, Cancel: job.Cancel} }
