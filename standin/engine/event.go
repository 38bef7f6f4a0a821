package engine

import (
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
)

// Event is one line of the event log.
type Event struct {
	Time     time.Time   `json:"time"`
	Event    Kind        `json:"event"`
	Endpoint string      `json:"endpoint"`
	Zone     string      `json:"zone"`
	Rack     string      `json:"rack,omitempty"`
	Task     string      `json:"task,omitempty"`
	Attempt  uint32      `json:"attempt,omitempty"`
	Tag      string      `json:"tag,omitempty"` // the caller's own id of the request
	Team     string      `json:"team,omitempty"`
	Queue    string      `json:"queue,omitempty"`
	Kind     wire.Kind   `json:"kind,omitempty"`
	Once     bool        `json:"once,omitempty"` // the request is not idempotent
	Holder   string      `json:"holder,omitempty"`
	Epoch    uint64      `json:"epoch,omitempty"`
	Needs    wire.Needs  `json:"needs,omitzero"`    // granted to the task
	Used     wire.Needs  `json:"used,omitzero"`     // actually used by the task
	Granted  wire.Needs  `json:"granted,omitzero"`  // with over: to all tasks, including this one
	Total    wire.Needs  `json:"total,omitzero"`    // with over: used by all tasks, including this one
	Capacity wire.Needs  `json:"capacity,omitzero"` // with up and over
	State    point.State `json:"state,omitempty"`   // with end
	Reason   string      `json:"reason,omitempty"`
}

// Kind is the type of an Event.
type Kind string

// The kinds of events.
const (
	Up           Kind = "up"      // the endpoint started
	Opened       Kind = "open"    // an owner opened the endpoint, or opened it again
	Released     Kind = "release" // the owner released the endpoint
	Fenced       Kind = "fenced"  // a call was refused because the caller isn't the owner
	Began        Kind = "start"   // a task started
	Ended        Kind = "end"     // a task ended before its lease expired
	Lapse        Kind = "lapse"   // a task ended because its lease expired
	OverCapacity Kind = "over"    // a start exceeds the capacity; a strict endpoint refuses it
	Refused      Kind = "refused" // a start was refused
	Repeated     Kind = "again"   // a start repeats an attempt that was started or stopped before
	Leave        Kind = "leaving" // the fault switch Leaving was set or cleared
)
