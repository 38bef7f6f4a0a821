package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// executorFormat is an executor in a snapshot. Its runs are in their jobs.
type executorFormat struct {
	Info          model.Executor `cbor:"1,keyasint"`
	BornIn        int            `cbor:"12,keyasint,omitempty"`
	Unrecorded    bool           `cbor:"13,keyasint,omitempty"`
	RunsKnown     bool           `cbor:"14,keyasint,omitempty"`
	Silent        bool           `cbor:"15,keyasint,omitempty"`
	SilentSince   Age            `cbor:"16,keyasint,omitempty"`
	FailureStreak int            `cbor:"17,keyasint,omitempty"`
	LastFailed    string         `cbor:"18,keyasint,omitempty"`
	Backoff       Age            `cbor:"19,keyasint,omitempty"`
	LastReport    Age            `cbor:"20,keyasint,omitempty"`
	Progressed    Age            `cbor:"21,keyasint,omitempty"`
	PaceChange    Age            `cbor:"22,keyasint,omitempty"`
	Changed       bool           `cbor:"23,keyasint,omitempty"`
	ServingRuns   int            `cbor:"24,keyasint,omitempty"`
	LifeKnown     bool           `cbor:"25,keyasint,omitempty"`
	Odd           bool           `cbor:"26,keyasint,omitempty"`
	ColdSince     Age            `cbor:"27,keyasint,omitempty"`
	ColdUntil     Age            `cbor:"28,keyasint,omitempty"`
	Excess        float64        `cbor:"29,keyasint,omitempty"` // of its track
	Failures      float64        `cbor:"30,keyasint,omitempty"` // of its track
	Tracked       Age            `cbor:"31,keyasint,omitempty"`
	NewlyCold     bool           `cbor:"32,keyasint,omitempty"` // its cold time begins with the next decision
}

func (e *executor) format(now time.Time) executorFormat {
	return executorFormat{
		Info:   e.info,
		BornIn: e.bornIn, Unrecorded: e.unrecorded, RunsKnown: e.runsKnown, Silent: e.silent, SilentSince: AgeOf(e.silentSince, now), FailureStreak: e.failureStreak, LastFailed: e.lastFailedJob,
		Backoff: AgeOf(e.backoffUntil, now), LastReport: AgeOf(e.lastReport, now), Progressed: AgeOf(e.progressedAt, now), PaceChange: AgeOf(e.lastPaceChange, now), Changed: e.changed, ServingRuns: e.servingRuns,
		LifeKnown: e.lifeKnown, Odd: e.odd, ColdSince: AgeOf(e.coldSince, now), ColdUntil: AgeOf(e.coldUntil, now),
		Excess: e.track.excess, Failures: e.track.failures, Tracked: AgeOf(e.track.at, now),
	}
}

func (s *State) restoreExecutor(f *executorFormat, now time.Time) {
	e := s.executor(f.Info.ID)
	e.info, e.zone = f.Info, s.zone(f.Info.Zone)
	e.bornIn, e.unrecorded, e.runsKnown, e.silent, e.silentSince = f.BornIn, f.Unrecorded, f.RunsKnown, f.Silent, f.SilentSince.At(now)
	e.failureStreak, e.lastFailedJob, e.backoffUntil = f.FailureStreak, f.LastFailed, f.Backoff.At(now)
	e.lastReport, e.progressedAt, e.lastPaceChange, e.servingRuns = f.LastReport.At(now), f.Progressed.At(now), f.PaceChange.At(now), f.ServingRuns
	e.lifeKnown, e.odd, e.coldSince, e.coldUntil = f.LifeKnown, f.Odd, f.ColdSince.At(now), f.ColdUntil.At(now)
	if f.NewlyCold {
		s.newlyCold = append(s.newlyCold, e)
	}
	e.track = track{excess: f.Excess, failures: f.Failures, at: f.Tracked.At(now)}
}
