package config

import (
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/wire"
)

const (
	minLease = time.Second
	maxLease = 24 * time.Hour
	maxCount = 1_000_000 // endpoints
)

// Endpoint describes a class of identical endpoints: how many the cell has, the
// capacity of each and how its tasks are fenced.
type Endpoint struct {
	Name  string         `toml:"-"`
	Kind  point.Kind     `toml:"kind"`            // executor or worker
	Fence point.Fence    `toml:"fence,omitempty"` // FenceEpoch, written "endpoint", if empty
	Lease setup.Duration `toml:"lease,omitempty"` // of a task; 10 s if empty
	Count int64          `toml:"count"`           // number of endpoints in the cell
	Needs wire.Needs     `toml:"has,inline"`      // capacity of one endpoint
	Note  string         `toml:"note,omitempty"`
}

// Ref implements Object.
func (e *Endpoint) Ref() Ref { return Ref{TypeEndpoint, e.Name} }

func (e *Endpoint) references() []reference { return nil }

func (e *Endpoint) check() []problem {
	ps := checkNote(e.Note)
	if e.Kind != point.Executor && e.Kind != point.Worker {
		ps = append(ps, problem{"kind", quote(string(e.Kind)) + ` is no kind of endpoint; write "executor" or "worker"`})
	}
	switch e.Fence {
	case "", point.FenceEpoch, point.FenceClock:
	default:
		ps = append(ps, problem{"fence", quote(string(e.Fence)) + ` is no fence; write "endpoint" or "clock"`})
	}
	if l := time.Duration(e.Lease); l != 0 && (l < minLease || l > maxLease) {
		ps = append(ps, problem{"lease", `out of bounds; write a duration from "1s" to "24h"`})
	}
	if e.Needs.Negative() {
		ps = append(ps, problem{"has", "negative; write what one endpoint has"})
	}
	return append(ps, checkRange("count", float64(e.Count), maxCount)...)
}
