package record

import "github.com/balsamford/balsamford/coord/wire"

// Verdict says what is to be done with a request.
type Verdict string

// The verdicts.
const (
	Run    Verdict = "run"    // run it here, then call End
	Wait   Verdict = "wait"   // it runs here already
	Known  Verdict = "known"  // it has ended; the note says how
	Away   Verdict = "away"   // another host may be running it
	Refuse Verdict = "refuse" // it isn't run
)

// Question is a request that wants to be run.
type Question struct {
	ID      string
	Team    string
	Digest  uint64 // of the content, to tell a retry from another request
	Once    bool   // it is not idempotent
	Private bool   // the id was issued just now and nobody else knows it
}

// Answer says what is known of a request and what is to be done.
type Answer struct {
	Verdict Verdict
	Note    Note            // the claim with Run, the outcome with Known and Refuse
	Done    <-chan struct{} // with Wait, closed when it ends
	Doubt   bool            // with Run: an earlier run may still go on
}

func refuse(outcome wire.Outcome, reason, detail string) Answer {
	return Answer{Verdict: Refuse, Note: Note{Outcome: outcome, Reason: reason, Detail: detail}}
}

// unproved returns the outcome of a request that isn't run here, but whose id
// may have been run before unless it is private.
func (q *Question) unproved() wire.Outcome {
	if q.Private {
		return wire.NotRun
	}
	return wire.Unknown
}
