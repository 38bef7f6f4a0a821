package point

import (
	"time"

	"github.com/balsamford/balsamford/coord/wire"
)

// Owner names a holder of an endpoint and its epoch.
type Owner struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
}

// Open asks for ownership. It is granted if the epoch is above the present
// one and the present owner has released the endpoint or its term has ended;
// the same (holder, epoch) may open again.
type Open struct {
	Owner
	Term time.Duration `json:"term"` // how long ownership holds without a renewal
}

// View is what an endpoint says of itself.
type View struct {
	Name     string        `json:"name"`
	Kind     Kind          `json:"kind"`
	Fence    Fence         `json:"fence"`
	Zone     string        `json:"zone"`
	Rack     string        `json:"rack"`
	Owner    Owner         `json:"owner"`
	Left     time.Duration `json:"left"` // of the present owner's term
	Leaving  bool          `json:"leaving,omitempty"`
	Capacity wire.Needs    `json:"capacity"`
	Reported wire.Needs    `json:"reported"` // usage as measured, with a lag
	Seq      uint64        `json:"seq"`      // of the last event of any task
	Tasks    []Task        `json:"tasks"`    // running ones, and ended ones not yet acknowledged
}

// Task is one task on an endpoint.
type Task struct {
	ID       string        `json:"id"` // request id, "/" and the number of the task
	Attempt  uint32        `json:"attempt"`
	Epoch    uint64        `json:"epoch"` // of the owner that started it
	Team     string        `json:"team"`
	Queue    string        `json:"queue"`
	Kind     wire.Kind     `json:"kind"`
	Name     string        `json:"name,omitempty"`
	Needs    wire.Needs    `json:"needs"`    // granted
	Reported wire.Needs    `json:"reported"` // used, with a lag
	State    State         `json:"state"`
	Code     int           `json:"code,omitempty"`
	Output   []byte        `json:"output,omitempty"`
	Age      time.Duration `json:"age"` // since its start
	Seq      uint64        `json:"seq"` // of its last event
}

// State is where a task stands on its endpoint.
type State string

// The states of a task. All but Running are final.
const (
	Running State = "running"
	Done    State = "done"
	Failed  State = "failed"
	Stopped State = "stopped" // by a Stop
	Saved   State = "saved"   // checkpointed, then stopped
	Lapsed  State = "lapsed"  // its lease ran out
)

// Ended reports whether s is final.
func (s State) Ended() bool { return s != Running }

// Renew keeps ownership for Term and the leases of all running tasks for
// Lease, both counted from its arrival. Ended tasks with a Seq up to Ack are
// forgotten.
type Renew struct {
	Owner
	Term  time.Duration `json:"term"`
	Lease time.Duration `json:"lease"`
	Since uint64        `json:"since"` // report tasks with a later Seq
	Ack   uint64        `json:"ack"`
	Wait  time.Duration `json:"wait,omitempty"` // answer early once something later than Since has happened
}

// Report answers a Renew.
type Report struct {
	Seq      uint64     `json:"seq"`
	Leaving  bool       `json:"leaving,omitempty"`
	Reported wire.Needs `json:"reported"`
	Tasks    []Task     `json:"tasks"` // with a Seq after Since
}

// Start asks an endpoint to run a task. The same (ID, Attempt) again is
// answered as the first time and doesn't run a second time.
type Start struct {
	Owner
	ID      string        `json:"id"`
	Attempt uint32        `json:"attempt"`
	Team    string        `json:"team"`
	Queue   string        `json:"queue"`
	Kind    wire.Kind     `json:"kind"`
	Name    string        `json:"name,omitempty"`
	Needs   wire.Needs    `json:"needs"`
	Lease   time.Duration `json:"lease"`
	Body    []byte        `json:"body,omitempty"`
}

// Stop asks for the end of a task.
type Stop struct {
	Owner
	ID      string   `json:"id"`
	Attempt uint32   `json:"attempt"`
	Mode    StopMode `json:"mode"`
}

// StopMode is how a task is to be ended or slowed.
type StopMode string

// The modes. ModeThrottle halves what the task may use and leaves it running.
const (
	ModeStop       StopMode = "stop"
	ModeCheckpoint StopMode = "checkpoint"
	ModeThrottle   StopMode = "throttle"
)
