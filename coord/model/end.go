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

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case RunDone:
		return "done"
	case RunFailed:
		return "failed"
	case RunStopped:
		return "stopped"
	case RunLapsed:
		return "lapsed"
	case RunBroken:
		return "broken"
	case RunAlone:
		return "alone"
	}
	return "unknown"
}

// End is the end of a run as its executor lists it.
type End struct {
	Seq        int64 // place in the executor's list, from 1 in each incarnation
	Task       Task
	Number     int
	Outcome    Outcome
	Checkpoint string // progress saved by then, empty for none
}
