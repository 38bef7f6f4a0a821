package config

import (
	"time"

	"github.com/balsamford/balsamford/coord/setup"
)

// Aim is what a policy optimises first.
type Aim string

// The aims.
const (
	AimWait  Aim = "wait"  // short waiting times
	AimShare Aim = "share" // capacity divided close to the teams' shares
)

const (
	// DefaultGrace is how long after Period keys are still accepted, unless a
	// policy sets it.
	DefaultGrace    = 500 * time.Millisecond
	defaultHeadroom = 0.1 // fraction of the workers
	defaultRetries  = 2
	maxGrace        = 24 * time.Hour
	maxHeadroom     = 0.9
	maxRetries      = 10
)

// Policy sets how the requests of a queue are scheduled. A field that is left
// out is taken from the base policy, or else from the defaults.
type Policy struct {
	Name     string          `toml:"-"`
	Base     string          `toml:"base,omitempty"`     // policy that supplies the fields left out here
	Aim      Aim             `toml:"aim,omitempty"`      // wait if left out everywhere
	Grace    *setup.Duration `toml:"grace,omitempty"`    // how long after Period unconfirmed keys are accepted
	Headroom *float64        `toml:"headroom,omitempty"` // fraction of the workers reserved for urgent work and gangs, 0 to 0.9
	Preempt  *bool           `toml:"preempt,omitempty"`  // quick requests may preempt batch tasks
	Retries  *int            `toml:"retries,omitempty"`  // of an idempotent request
	Note     string          `toml:"note,omitempty"`
}

// Ref implements Object.
func (p *Policy) Ref() Ref { return Ref{TypePolicy, p.Name} }

func (p *Policy) references() []reference {
	if p.Base == "" {
		return nil
	}
	return []reference{{"base", Ref{TypePolicy, p.Base}}}
}

func (p *Policy) check() []problem {
	ps := checkNote(p.Note)
	switch p.Aim {
	case "", AimWait, AimShare:
	default:
		ps = append(ps, problem{"aim", quote(string(p.Aim)) + ` is no aim; write "wait" or "share"`})
	}
	if p.Grace != nil && (time.Duration(*p.Grace) < 0 || time.Duration(*p.Grace) > maxGrace) {
		ps = append(ps, problem{"grace", `out of bounds; write a duration from "0s" to "24h"`})
	}
	if p.Headroom != nil {
		ps = append(ps, checkRange("headroom", *p.Headroom, maxHeadroom)...)
	}
	if p.Retries != nil {
		ps = append(ps, checkRange("retries", float64(*p.Retries), maxRetries)...)
	}
	return ps
}
