package model

// Outcome is how a run ended.
type Outcome int

// The outcomes of a run.
const (
	RunDone    Outcome = iota
	RunFailed          // the task or its executor failed
	RunStopped         // a stop was ordered
	RunLapsed          // the run's lease expired
	RunBroken          // another member of the gang ended
	RunAlone           // the rest of the gang didn't start in time
)

// String returns the outcome's name, such as "done".
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

// End is an entry in an executor's list of ended runs.
type End struct {
	Seq        int64 // position in the executor's list, from 1 in each incarnation
	Task       Task
	Number     int // of the run, as in Run
	Outcome    Outcome
	Checkpoint string // latest saved progress, empty for none
}
