package record

import "github.com/balsamford/balsamford/coord/wire"

// Action tells the caller how to proceed with a request.
type Action string

// The actions.
const (
	Run              Action = "run"    // run the request on this host, then call End
	Wait             Action = "wait"   // the request already runs on this host; wait for Answer.Done
	Known            Action = "known"  // the request has ended; Answer.Note has the outcome
	ClaimedElsewhere Action = "away"   // another host has claimed the request and may be running it
	Refuse           Action = "refuse" // the request must not be run
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
	Action  Action
	Note    Note            // the claim with Run, the outcome with Known and Refuse
	Done    <-chan struct{} // with Wait, closed when it ends
	InDoubt bool            // with Run: an earlier run may still be in progress
}

func refuse(outcome wire.Outcome, reason, detail string) Answer {
	return Answer{Action: Refuse, Note: Note{Outcome: outcome, Reason: reason, Detail: detail}}
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
