package point

import (
	"time"

	"github.com/balsamford/balsamford/coord/wire"
)

// Owner identifies an owner of an endpoint: the holder's name and the epoch, or
// fencing token, of its ownership.
type Owner struct {
	Holder string `json:"holder"`
	Epoch  uint64 `json:"epoch"`
}

// Open requests ownership of an endpoint. It is granted if the epoch is above
// the current one and the current owner has released the endpoint or its term
// has ended. The same holder may repeat an Open with the same epoch.
type Open struct {
	Owner
	Term time.Duration `json:"term"` // how long ownership lasts without a renewal
}

// View is an endpoint's description of itself.
type View struct {
	Name     string        `json:"name"`
	Kind     Kind          `json:"kind"`
	Fence    Fence         `json:"fence"`
	Zone     string        `json:"zone"`
	Rack     string        `json:"rack"`
	Owner    Owner         `json:"owner"`
	Left     time.Duration `json:"left"`              // remaining time of the current owner's term
	Leaving  bool          `json:"leaving,omitempty"` // it is shutting down and starts no more tasks
	Capacity wire.Needs    `json:"capacity"`
	Reported wire.Needs    `json:"reported"` // measured usage, delayed
	Seq      uint64        `json:"seq"`      // sequence number of the latest event of any task
	Tasks    []Task        `json:"tasks"`    // running tasks, and ended tasks that aren't acknowledged yet
}

// Task is one task on an endpoint.
type Task struct {
	ID       string        `json:"id"` // request id, "/" and the task's number
	Attempt  uint32        `json:"attempt"`
	Epoch    uint64        `json:"epoch"` // of the owner that started the task
	Team     string        `json:"team"`
	Queue    string        `json:"queue"`
	Kind     wire.Kind     `json:"kind"`
	Name     string        `json:"name,omitempty"`
	Needs    wire.Needs    `json:"needs"`    // granted resources
	Reported wire.Needs    `json:"reported"` // measured usage, delayed
	State    State         `json:"state"`
	Code     int           `json:"code,omitempty"` // exit code
	Output   []byte        `json:"output,omitempty"`
	Age      time.Duration `json:"age"` // time since the task started
	Seq      uint64        `json:"seq"` // sequence number of the task's latest event
}

// State is the state of a task on its endpoint.
type State string

// The states of a task. All but Running are final.
const (
	Running State = "running"
	Done    State = "done"
	Failed  State = "failed"
	Stopped State = "stopped" // stopped by a Stop
	Saved   State = "saved"   // checkpointed, then stopped
	Lapsed  State = "lapsed"  // stopped because its lease expired
)

// Ended reports whether s is final.
func (s State) Ended() bool { return s != Running }

// Renew renews ownership for Term and the leases of all running tasks for
// Lease, both measured from its arrival. It acknowledges ended tasks with a Seq
// up to Ack, which the endpoint then deletes.
type Renew struct {
	Owner
	Term  time.Duration `json:"term"`
	Lease time.Duration `json:"lease"`
	Since uint64        `json:"since"` // report only tasks with a higher Seq
	Ack   uint64        `json:"ack"`
	Wait  time.Duration `json:"wait,omitempty"` // long poll: delay the answer by up to Wait until there is an event after Since
}

// Report is the answer to a Renew.
type Report struct {
	Seq      uint64     `json:"seq"` // sequence number of the latest event of any task
	Leaving  bool       `json:"leaving,omitempty"`
	Reported wire.Needs `json:"reported"` // measured usage, delayed
	Tasks    []Task     `json:"tasks"`    // tasks with a Seq above Since
}

// Start requests that an endpoint run a task. It is idempotent: a Start with
// the same ID and Attempt gets the same answer and starts nothing.
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

// Stop requests that a task be ended or slowed, according to Mode.
type Stop struct {
	Owner
	ID      string   `json:"id"`
	Attempt uint32   `json:"attempt"`
	Mode    StopMode `json:"mode"`
}

// StopMode is the way in which a Stop ends or slows a task.
type StopMode string

// The modes.
const (
	ModeStop       StopMode = "stop"       // ends the task
	ModeCheckpoint StopMode = "checkpoint" // saves a checkpoint, then ends the task
	ModeThrottle   StopMode = "throttle"   // halves what the task may use and leaves it running
)
