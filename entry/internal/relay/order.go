package relay

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
)

// Order is a request to be run, with the parameters of the run.
type Order struct {
	Request  wire.Request
	Deadline time.Time       // zero if there is none
	Context  context.Context // cancelled when the caller cancels the request; may be nil
	Allow    func() string   // called before each send; a non-empty reason code forbids it
	Zone     string          // only placers in this zone are tried; all zones if empty
	Base     uint32          // attempts are numbered from Base + 1
	InDoubt  bool            // an earlier run may still be in progress in any zone
}

// Sink receives the progress and the answer of a request while it runs.
type Sink interface {
	// Phase is called when the request enters a phase.
	Phase(p wire.Phase)
	// Chunk receives the next part of an answer that is too large to be
	// buffered. It may block while the caller reads slowly. After an error it
	// isn't called again, but the request continues.
	Chunk(p []byte) error
}
