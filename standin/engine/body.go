package engine

import (
	"encoding/json"
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/wire"
)

// Body is what the tasks of the stand-in do, as JSON in a Start's body. A
// body that isn't JSON stands for the zero Body.
type Body struct {
	Work setup.Duration `json:"work,omitempty"` // 0 ends at once, but a service runs until it is stopped
	Size int            `json:"size,omitempty"` // bytes of the answer
	Seed uint64         `json:"seed,omitempty"` // of the answer
	Fail bool           `json:"fail,omitempty"` // ends as failed
	Code int            `json:"code,omitempty"` // exit code
	Use  float64        `json:"use,omitempty"`  // real processors and memory as a multiple of the granted ones; 0 is 1
	Once bool           `json:"once,omitempty"` // belongs to a non-idempotent request; for the log only
	Tag  string         `json:"tag,omitempty"`  // the caller's own name of the request; its answer depends on it in place of the id
}

func readBody(data []byte) Body {
	var b Body
	if json.Unmarshal(data, &b) != nil {
		return Body{}
	}
	return b
}

// lasting reports whether the task runs until it is stopped.
func (b Body) lasting(kind wire.Kind) bool { return kind == wire.Service && b.Work == 0 }

func (b Body) work() time.Duration { return time.Duration(b.Work) }

// used returns what a task really uses of an endpoint.
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
