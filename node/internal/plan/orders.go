package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// Start orders a new run of a task.
type Start struct {
	Task       model.Task
	Number     int
	Executor   string
	Spec       string
	Checkpoint string
	Ticket     string
	Version    int   // version of the job's progress that first includes the run
	Config     int64 // version of the configuration that it was decided by, 0 for none
}

// Stop orders a run to stop.
type Stop struct {
	Task     model.Task
	Number   int
	Executor string
}

// Pace orders a run to work at a percentage of its full speed.
type Pace struct {
	Task     model.Task
	Number   int
	Executor string
	Percent  int
}

// AdviceRequest orders a request to the placement adviser.
type AdviceRequest struct {
	Step          model.StepID
	Executors     []string
	EstimatedTime time.Duration // expected time until the answer
	decision      int           // in which it was ordered
}

// Orders holds what a caller of Decide has to carry out.
type Orders struct {
	Starts         []Start
	Stops          []Stop
	Paces          []Pace
	AdviceRequests []AdviceRequest
	Moves          []Move        // runs among Stops, to be logged
	More           bool          // another decision is due at once
	AdviceIdle     time.Duration // in which a step waited for advice while slots were idle
	AdviceIdles    []AdviceIdle  // to be logged
	Stalls         []Stall       // to be logged
	Expired        []Expiry      // to be logged
	Vanished       []Vanished    // to be logged
	Duplicates     []Duplicate   // to be logged
}

// Move describes a run that was ordered to stop so that its task goes on outside of an
// evacuated zone.
type Move struct {
	Stop
	Zone string // the evacuated zone
}

// Vanished describes a run that an executor had confirmed, and that it lists neither as running
// nor as ended.
type Vanished struct {
	Stop
	For time.Duration // since it was confirmed
}

// Duplicate describes a run that was found on an executor although its task is done or has
// another run. It is stopped.
type Duplicate struct {
	Stop
	Done  bool
	Other model.Place // of the other run, zero for none
}

// Expiry describes an executor without an entry whose leases have ended. The runs that were
// recorded on it are given up.
type Expiry struct {
	Executor string
	Runs     int  // that were recorded on it
	Recorded bool // the last owner recorded when its leases end
}
