package record

import "github.com/balsamford/balsamford/coord/wire"

// Verdict is the action that the caller must take for a request.
type Verdict string

// The verdicts.
const (
	Run              Verdict = "run"    // run the request on this host, then call End
	Wait             Verdict = "wait"   // the request already runs on this host; wait for Answer.Done
	Known            Verdict = "known"  // the request has ended; Answer.Note has the outcome
	ClaimedElsewhere Verdict = "away"   // another host has claimed the request and may be running it
	Refuse           Verdict = "refuse" // the request must not be run
)

// Request describes a request that a caller wants to run.
type Request struct {
	ID      string
	Team    string
	Digest  uint64 // hash of the content; distinguishes a retry from another request with the same id
	Once    bool   // the request is not idempotent and must run at most once
	FreshID bool   // the id was issued for this call, so no other process has seen it
}

// Answer is the result of looking up or claiming a request.
type Answer struct {
	Verdict Verdict
	Note    Note            // the claim with Run, the outcome with Known and Refuse
	Done    <-chan struct{} // with Wait, closed when it ends
	InDoubt bool            // with Run: an earlier run may still be in progress
}

func refuse(outcome wire.Outcome, reason, detail string) Answer {
	return Answer{Verdict: Refuse, Note: Note{Outcome: outcome, Reason: reason, Detail: detail}}
}

// refusalOutcome returns the outcome for a request that this host refuses to
// run. A request whose id was not issued for this call may have run earlier, so
// its outcome is unknown.
func (q *Request) refusalOutcome() wire.Outcome {
	if q.FreshID {
		return wire.NotRun
	}
	return wire.Unknown
}
