package ledger

import "github.com/balsamford/balsamford/coord/wire"

// Open is what those who look for jobs without a driver need of an open job.
type Open struct {
	Driver string `cbor:"driver,omitempty"`
	Cancel bool   `cbor:"cancel,omitempty"`
}

func openOf(job *wire.Job) Open { return Open{Driver: job.Driver, Cancel: job.Cancel} }
