package relay

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
)

// Order is a request to be run, with what the runner needs to know besides.
type Order struct {
	Request  wire.Request
	Deadline time.Time       // zero for none
	Wanted   context.Context // ends when the caller no longer wants the request run
	Allow    func() string   // asked before each send; a reason forbids it
	Zone     string          // only placers of this zone take it; any if empty
	Base     uint32          // attempts are numbered from Base + 1
	Doubt    bool            // an earlier run may still go on somewhere
}

// Sink takes what comes back while a request runs.
type Sink interface {
	// Phase reports progress.
	Phase(p wire.Phase)
	// Chunk takes the next piece of an answer that is too large to be held
	// in memory. It blocks while the caller is slow; after an error no more
	// is passed on, and the request goes on.
	Chunk(p []byte) error
}
