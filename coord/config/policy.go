package config

import (
	"time"

	"github.com/balsamford/balsamford/coord/setup"
)

// Aim is what a policy weighs most.
type Aim string

// The aims.
const (
	AimWait  Aim = "wait"  // short waiting times
	AimShare Aim = "share" // nearness to the teams' shares
)

const (
	// DefaultGrace is how long keys are honoured beyond Period where a
	// policy says nothing.
	DefaultGrace    = 500 * time.Millisecond
	defaultHeadroom = 0.1
	defaultRetries  = 2
	maxGrace        = 24 * time.Hour
	maxHeadroom     = 0.9
	maxRetries      = 10
)

// Policy says how the requests of a queue are treated. A field that is left
// out is the base policy's, or the default.
type Policy struct {
	Name     string          `toml:"-"`
	Base     string          `toml:"base,omitempty"`     // policy that gives the fields left out here
	Aim      Aim             `toml:"aim,omitempty"`      // wait if left out everywhere
	Grace    *setup.Duration `toml:"grace,omitempty"`    // how long unconfirmed keys are honoured beyond Period
	Headroom *float64        `toml:"headroom,omitempty"` // part of the workers that only urgent work and gangs may use, 0 to 0.9
	Preempt  *bool           `toml:"preempt,omitempty"`  // quick requests may stop batch tasks
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
