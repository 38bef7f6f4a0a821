package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// executorFormat is an executor in a snapshot. Its runs are in their jobs.
type executorFormat struct {
	ID            string        `cbor:"1,keyasint"`
	Born          time.Time     `cbor:"2,keyasint,omitempty"` // by its own clock
	Service       string        `cbor:"3,keyasint,omitempty"`
	Address       string        `cbor:"4,keyasint,omitempty"`
	Zone          string        `cbor:"5,keyasint,omitempty"`
	Room          model.Amount  `cbor:"6,keyasint,omitempty"`
	Kind          string        `cbor:"7,keyasint,omitempty"`
	Rack          string        `cbor:"8,keyasint,omitempty"`
	Labels        []string      `cbor:"9,keyasint,omitempty"`
	Draining      bool          `cbor:"10,keyasint,omitempty"`
	Remaining     time.Duration `cbor:"11,keyasint,omitempty"`
	BornIn        int           `cbor:"12,keyasint,omitempty"`
	Unrecorded    bool          `cbor:"13,keyasint,omitempty"`
	RunsKnown     bool          `cbor:"14,keyasint,omitempty"`
	Silent        bool          `cbor:"15,keyasint,omitempty"`
	SilentSince   age           `cbor:"16,keyasint,omitempty"`
	FailureStreak int           `cbor:"17,keyasint,omitempty"`
	LastFailed    string        `cbor:"18,keyasint,omitempty"`
	Backoff       age           `cbor:"19,keyasint,omitempty"`
	LastReport    age           `cbor:"20,keyasint,omitempty"`
	Progressed    age           `cbor:"21,keyasint,omitempty"`
	PaceChange    age           `cbor:"22,keyasint,omitempty"`
	Changed       bool          `cbor:"23,keyasint,omitempty"`
	ServingRuns   int           `cbor:"24,keyasint,omitempty"`
}

func (e *executor) format(now time.Time) executorFormat {
	x := &e.info
	return executorFormat{
		ID: x.ID, Born: x.Born, Service: x.Service, Address: x.Address, Zone: x.Zone, Room: x.Room, Kind: x.Kind, Rack: x.Rack, Labels: x.Labels, Draining: x.Draining, Remaining: x.Remaining,
		BornIn: e.bornIn, Unrecorded: e.unrecorded, RunsKnown: e.runsKnown, Silent: e.silent, SilentSince: ageOf(e.silentSince, now), FailureStreak: e.failureStreak, LastFailed: e.lastFailedJob,
		Backoff: ageOf(e.backoffUntil, now), LastReport: ageOf(e.lastReport, now), Progressed: ageOf(e.progressedAt, now), PaceChange: ageOf(e.lastPaceChange, now), Changed: e.changed, ServingRuns: e.servingRuns,
	}
}

func (s *State) restoreExecutor(f *executorFormat, now time.Time) {
	e := s.executor(f.ID)
	e.info = model.Executor{
		ID: f.ID, Born: f.Born, Service: f.Service, Address: f.Address, Zone: f.Zone, Room: f.Room, Kind: f.Kind, Rack: f.Rack, Labels: f.Labels, Draining: f.Draining, Remaining: f.Remaining,
	}
	e.zone = s.zone(f.Zone)
	e.bornIn, e.unrecorded, e.runsKnown, e.silent, e.silentSince = f.BornIn, f.Unrecorded, f.RunsKnown, f.Silent, f.SilentSince.at(now)
	e.failureStreak, e.lastFailedJob, e.backoffUntil = f.FailureStreak, f.LastFailed, f.Backoff.at(now)
	e.lastReport, e.progressedAt, e.lastPaceChange, e.servingRuns = f.LastReport.at(now), f.Progressed.at(now), f.PaceChange.at(now), f.ServingRuns
}
