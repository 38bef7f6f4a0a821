package model

// Outcome is how a run ended.
type Outcome int

// The outcomes of a run.
const (
	RunDone    Outcome = iota
	RunFailed          // through its own fault or the executor's
	RunStopped         // by an order
	RunLapsed          // its lease ended
	RunBroken          // another member of its gang ended
	RunAlone           // the rest of its gang didn't come in time
)

// End is the end of a run as its executor lists it.
type End struct {
	Seq        int64 // place in the executor's list, from 1 in each incarnation
	Task       Task
	Number     int
	Outcome    Outcome
	Checkpoint string // progress saved by then, empty for none
}
