package relay

import "github.com/balsamford/balsamford/coord/wire"

// Result is the outcome of a request, with its answer.
type Result struct {
	Outcome  wire.Outcome
	Reason   string // a wire.Reason code
	Detail   string
	Endpoint string
	Code     int    // exit code of the task
	Size     int64  // bytes of the answer
	Sum      uint64 // xxhash64 of the answer
	Body     []byte // the answer, unless it was streamed to the Sink
	Streamed bool   // the answer, or a part of it, was streamed to the Sink
}

// NotRun returns the result of a request that has not run and will not run.
func NotRun(reason, detail string) Result {
	return Result{Outcome: wire.NotRun, Reason: reason, Detail: detail}
}

// Unknown returns the result of a request that may have run.
func Unknown(reason, detail string) Result {
	return Result{Outcome: wire.Unknown, Reason: reason, Detail: detail}
}
