package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// Start orders a run of a task.
type Start struct {
	Task       model.Task
	Number     int
	Executor   string
	Spec       string
	Checkpoint string
	Ticket     string
	Version    int // of the job's progress from which on it names the run
}

// Stop orders the end of a run.
type Stop struct {
	Task     model.Task
	Number   int
	Executor string
}

// Pace orders a task to work at a share of its speed.
type Pace struct {
	Task     model.Task
	Number   int
	Executor string
	Percent  int
}

// Ask orders a question to the placement adviser.
type Ask struct {
	Step      model.StepID
	Executors []string
	Takes     time.Duration // that the adviser needs
}

// Orders is what Decide wants done.
type Orders struct {
	Starts []Start
	Stops  []Stop
	Paces  []Pace
	Asks   []Ask
	Stalls []Stall // to be told
}
