package engine

import (
	"encoding/json"
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/wire"
)

// Body configures what a task of the stand-in does. It is the JSON body of a
// point.Start; a body that can't be decoded counts as the zero Body.
type Body struct {
	Work setup.Duration `json:"work,omitempty"` // run time; with 0 a service runs until it is stopped, other tasks end at once
	Size int            `json:"size,omitempty"` // of the answer, in bytes
	Seed uint64         `json:"seed,omitempty"` // of the answer
	Fail bool           `json:"fail,omitempty"` // the task fails at the end of its work
	Code int            `json:"code,omitempty"` // exit code; the task fails if it isn't 0
	Use  float64        `json:"use,omitempty"`  // actual use of CPU and memory as a multiple of the granted amounts; 0 counts as 1
	Once bool           `json:"once,omitempty"` // the request is not idempotent; for the log only
	Tag  string         `json:"tag,omitempty"`  // the caller's own id of the request; the answer depends on it instead of on the task's id
}

func decodeBody(data []byte) Body {
	var b Body
	if json.Unmarshal(data, &b) != nil {
		return Body{}
	}
	return b
}

// runsUntilStopped reports whether the task has no end of its own.
func (b Body) runsUntilStopped(kind wire.Kind) bool { return kind == wire.Service && b.Work == 0 }

func (b Body) work() time.Duration { return time.Duration(b.Work) }

// used returns what a task actually uses of an endpoint.
func (b Body) used(kind point.Kind, granted wire.Needs) wire.Needs {
	if kind == point.Executor {
		return wire.Needs{Slots: 1, Conns: 1}
	}
	factor := b.Use
	if factor <= 0 {
		factor = 1
	}
	return wire.Needs{
		CPU:   int64(float64(granted.CPU) * factor),
		Mem:   int64(float64(granted.Mem) * factor),
		Accel: granted.Accel,
	}
}
