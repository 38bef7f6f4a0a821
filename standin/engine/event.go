package engine

import (
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
)

// Event is one line of the log of an Endpoint.
type Event struct {
	Time     time.Time   `json:"time"`
	Event    Kind        `json:"event"`
	Endpoint string      `json:"endpoint"`
	Zone     string      `json:"zone"`
	Rack     string      `json:"rack,omitempty"`
	Task     string      `json:"task,omitempty"`
	Attempt  uint32      `json:"attempt,omitempty"`
	Tag      string      `json:"tag,omitempty"` // the caller's own name of the request
	Team     string      `json:"team,omitempty"`
	Queue    string      `json:"queue,omitempty"`
	Kind     wire.Kind   `json:"kind,omitempty"`
	Once     bool        `json:"once,omitempty"` // the request is not idempotent
	Holder   string      `json:"holder,omitempty"`
	Epoch    uint64      `json:"epoch,omitempty"`
	Needs    wire.Needs  `json:"needs,omitzero"`    // granted to the task
	Used     wire.Needs  `json:"used,omitzero"`     // really used by the task
	Granted  wire.Needs  `json:"granted,omitzero"`  // with over: to all tasks, this one included
	Total    wire.Needs  `json:"total,omitzero"`    // with over: used by all tasks, this one included
	Capacity wire.Needs  `json:"capacity,omitzero"` // with up and over
	State    point.State `json:"state,omitempty"`   // with end
	Reason   string      `json:"reason,omitempty"`
}

// Kind is what an Event tells.
type Kind string

// The kinds of event.
const (
	Up      Kind = "up"      // the endpoint began
	Opened  Kind = "open"    // an owner took it
	Freed   Kind = "release" // its owner gave it up
	Fenced  Kind = "fenced"  // a call of someone else was refused
	Began   Kind = "start"   // a task began
	Ended   Kind = "end"     // a task ended, other than by its lease
	Lapse   Kind = "lapse"   // a task ended because its lease ran out
	Over    Kind = "over"    // a start would take, or took, more than there is
	Refused Kind = "refused" // a start was refused
	Again   Kind = "again"   // a start came again
	Leave   Kind = "leaving" // the switch for leaving was set or unset
)
