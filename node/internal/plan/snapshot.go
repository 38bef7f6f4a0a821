package plan

import (
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/balsamford/balsamford/coord/model"
)

// A planned hand-over gives the successor the whole State, so that it decides at once: the load is a
// rolling restart of all hosts under full traffic. The formats of a snapshot hold ages in place of
// times, since clocks of hosts differ. The successor adds them to the time of receipt, so that all
// times are later than they were by the duration of the transfer: leases count as longer, and
// reports that it requests itself come after all of them. Only tickets of the adviser must not count
// as longer, so that Restore is told how old the snapshot may be.
//
// A new field of State that a successor needs gets a field with a new number in the struct for its
// part, and one line in the two functions that convert that struct.

// snapshotVersion is the version of the format. Snapshots of another version aren't restored.
const snapshotVersion = 1

// SnapshotError reports a snapshot that can't be restored.
type SnapshotError struct{ Reason string }

// Error implements error.
func (e *SnapshotError) Error() string { return "snapshot: " + e.Reason }

// Age is a time as its distance before the time of the snapshot in nanoseconds, negative for later
// times. The zero value stands for the zero time.
type Age int64

// AgeOf returns the age of t at now.
func AgeOf(t, now time.Time) Age {
	if t.IsZero() {
		return 0
	}
	if d := now.Sub(t); d != 0 {
		return Age(d)
	}
	return 1 // Zero is taken.
}

// At returns the time for a snapshot of the time now.
func (a Age) At(now time.Time) time.Time {
	if a == 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(a))
}

// stateFormat is the format of a snapshot.
type stateFormat struct {
	Version            int                   `cbor:"1,keyasint"`
	Decision           int                   `cbor:"2,keyasint,omitempty"`
	NextSweep          Age                   `cbor:"3,keyasint,omitempty"`
	Settle             Age                   `cbor:"4,keyasint,omitempty"`
	WriteAheadZone     string                `cbor:"5,keyasint,omitempty"`
	Reregister         Age                   `cbor:"6,keyasint,omitempty"`
	Listed             bool                  `cbor:"7,keyasint,omitempty"`
	ListedAsOf         Age                   `cbor:"8,keyasint,omitempty"`
	Ended              []string              `cbor:"9,keyasint,omitempty"`
	ShortRequest       Age                   `cbor:"10,keyasint,omitempty"`
	TicketsRequired    map[string]Age        `cbor:"11,keyasint,omitempty"`
	Slowdowns          map[string]float64    `cbor:"12,keyasint,omitempty"`
	RecordedClosed     []string              `cbor:"13,keyasint,omitempty"`
	RecordedUnverified []string              `cbor:"14,keyasint,omitempty"`
	MaybeClosed        []string              `cbor:"15,keyasint,omitempty"`
	ClosedInDoubt      bool                  `cbor:"16,keyasint,omitempty"`
	InheritedClosed    []string              `cbor:"17,keyasint,omitempty"`
	LeaseEnds          map[string]Age        `cbor:"18,keyasint,omitempty"`
	Forgotten          []string              `cbor:"19,keyasint,omitempty"`
	Stops              []stopFormat          `cbor:"20,keyasint,omitempty"` // decided and not returned by Decide yet
	Executors          []executorFormat      `cbor:"21,keyasint,omitempty"`
	Jobs               []jobFormat           `cbor:"22,keyasint,omitempty"`
	Teams              map[string]teamFormat `cbor:"23,keyasint,omitempty"`
	Advice             *AdviceAnswers        `cbor:"24,keyasint,omitempty"`
	Backlogged         bool                  `cbor:"25,keyasint,omitempty"`
	Cold               map[string]coldFormat `cbor:"26,keyasint,omitempty"`
	EstimateRatios     map[string]float64    `cbor:"27,keyasint,omitempty"`
	ShortRequests      *peakFormat           `cbor:"28,keyasint,omitempty"`
	Turnover           *turnoverFormat       `cbor:"29,keyasint,omitempty"`
	Moves              []moveFormat          `cbor:"30,keyasint,omitempty"` // that haven't ended
}

// coldFormat is a coldSlowdown.
type coldFormat struct {
	Factor float64 `cbor:"1,keyasint"`
	Runs   int     `cbor:"2,keyasint"`
}

// stopFormat is a Stop.
type stopFormat struct {
	Job      string `cbor:"1,keyasint"`
	Occur    int    `cbor:"2,keyasint,omitempty"`
	Step     int    `cbor:"3,keyasint,omitempty"`
	Index    int    `cbor:"4,keyasint,omitempty"`
	Number   int    `cbor:"5,keyasint"`
	Executor string `cbor:"6,keyasint"`
}

// stopFormatOf returns the format of a stop.
func stopFormatOf(o Stop) stopFormat {
	return stopFormat{Job: o.Task.Job, Occur: o.Task.Occur, Step: o.Task.Step, Index: o.Task.Index, Number: o.Number, Executor: o.Executor}
}

// stop returns the stop.
func (f *stopFormat) stop() Stop {
	return Stop{Task: model.Task{Job: f.Job, Occur: f.Occur, Step: f.Step, Index: f.Index}, Number: f.Number, Executor: f.Executor}
}

// teamFormat is a team. What its runs take follows from the runs.
type teamFormat struct {
	UrgentPeak int64   `cbor:"1,keyasint,omitempty"`
	Peaked     Age     `cbor:"2,keyasint,omitempty"`
	Tokens     float64 `cbor:"3,keyasint,omitempty"`
	// Refilled is a time, not an age: it is compared with the times of acceptance, which are
	// those of other hosts' clocks.
	Refilled time.Time `cbor:"4,keyasint,omitempty"`
}

// Snapshot encodes what a successor needs to decide as this State would, except for job specifications,
// the configuration, and requests to the adviser without an answer. A start without an answer
// is in doubt in the snapshot.
func (s *State) Snapshot(now time.Time) ([]byte, error) {
	f := stateFormat{
		Version: snapshotVersion, Decision: s.decision, NextSweep: AgeOf(s.nextSweep, now), Settle: AgeOf(s.settleDeadline, now), WriteAheadZone: s.writeAheadZone,
		Reregister: AgeOf(s.reregisterUntil, now), Listed: s.executorsListed, ListedAsOf: AgeOf(s.listedAsOf, now), Ended: slices.Collect(maps.Keys(s.ended)),
		ShortRequest: AgeOf(s.shortRequestAt, now), TicketsRequired: agesOf(s.ticketsRequired, now), Slowdowns: s.slowdowns, RecordedClosed: s.recordedClosed,
		RecordedUnverified: s.recordedUnverified, MaybeClosed: slices.Collect(maps.Keys(s.maybeClosed)), ClosedInDoubt: s.closedInDoubt,
		InheritedClosed: slices.Collect(maps.Keys(s.inheritedClosed)), LeaseEnds: agesOf(s.leaseEnds, now), Forgotten: s.forgotten, Backlogged: s.backlogged,
		Teams: make(map[string]teamFormat, len(s.teams)), Advice: s.AdviceAnswers(now), Cold: make(map[string]coldFormat, len(s.coldSlowdowns)), EstimateRatios: s.estimateRatios,
		ShortRequests: s.shortRequests.format(now), Turnover: s.turnover.format(now), Moves: s.moveFormats(),
	}
	for _, o := range s.orders.Stops {
		f.Stops = append(f.Stops, stopFormatOf(o))
	}
	for name, t := range s.teams {
		f.Teams[name] = teamFormat{UrgentPeak: t.urgentPeak, Peaked: AgeOf(t.peakedAt, now), Tokens: t.tokens, Refilled: t.refilledAt}
	}
	for _, e := range s.executors {
		x := e.format(now)
		x.NewlyCold = slices.Contains(s.newlyCold, e)
		f.Executors = append(f.Executors, x)
	}
	for _, j := range s.jobs {
		f.Jobs = append(f.Jobs, s.jobFormat(j, now))
	}
	for kind, c := range s.coldSlowdowns {
		f.Cold[kind] = coldFormat{Factor: c.factor, Runs: c.runs}
	}
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		return nil, err
	}
	return mode.Marshal(&f)
}

// agesOf converts times to ages.
func agesOf(times map[string]time.Time, now time.Time) map[string]Age {
	out := make(map[string]Age, len(times))
	for k, t := range times {
		out[k] = AgeOf(t, now)
	}
	return out
}

// timesOf converts ages to times.
func timesOf(ages map[string]Age, now time.Time) map[string]time.Time {
	out := make(map[string]time.Time, len(ages))
	for k, a := range ages {
		out[k] = a.At(now)
	}
	return out
}

// set returns the set of names.
func set(names []string) map[string]bool {
	out := make(map[string]bool, len(names))
	for _, name := range names {
		out[name] = true
	}
	return out
}

// SnapshotJobs returns the jobs whose specifications Restore needs.
func SnapshotJobs(data []byte) ([]string, error) {
	f, err := decodeSnapshot(data)
	if err != nil {
		return nil, err
	}
	ids := make([]string, 0, len(f.Jobs))
	for i := range f.Jobs {
		ids = append(ids, f.Jobs[i].ID)
	}
	return ids, nil
}

func decodeSnapshot(data []byte) (*stateFormat, error) {
	var f stateFormat
	mode, err := cbor.DecOptions{MaxArrayElements: maxSnapshotElements, MaxMapPairs: maxSnapshotElements}.DecMode()
	if err != nil {
		return nil, err
	}
	if err := mode.Unmarshal(data, &f); err != nil {
		return nil, &SnapshotError{Reason: err.Error()}
	}
	if f.Version != snapshotVersion {
		return nil, &SnapshotError{Reason: "of another version"}
	}
	return &f, nil
}

// maxSnapshotElements bounds the length of a list or map in a snapshot, above the jobs of a cell.
const maxSnapshotElements = 1 << 20

// Restore replaces what a State that New has returned lacks by a snapshot that was received at now
// and was age old then, at most. spec returns the specification of a job, nil if it isn't known. After
// an error, which is a *SnapshotError, the State must not be used.
func (s *State) Restore(now time.Time, age time.Duration, data []byte, spec func(id string) *model.Job) error {
	f, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	s.decision, s.nextSweep, s.settleDeadline, s.writeAheadZone = f.Decision, f.NextSweep.At(now), f.Settle.At(now), f.WriteAheadZone
	s.reregisterUntil, s.executorsListed, s.listedAsOf = f.Reregister.At(now), f.Listed, f.ListedAsOf.At(now)
	s.ended, s.shortRequestAt, s.ticketsRequired = set(f.Ended), f.ShortRequest.At(now), timesOf(f.TicketsRequired, now)
	s.recordedClosed, s.recordedUnverified, s.maybeClosed, s.closedInDoubt = f.RecordedClosed, f.RecordedUnverified, set(f.MaybeClosed), f.ClosedInDoubt
	s.inheritedClosed, s.leaseEnds, s.forgotten, s.backlogged = set(f.InheritedClosed), timesOf(f.LeaseEnds, now), f.Forgotten, f.Backlogged
	maps.Copy(s.slowdowns, f.Slowdowns)
	maps.Copy(s.estimateRatios, f.EstimateRatios)
	for kind, c := range f.Cold {
		s.coldSlowdowns[kind] = coldSlowdown{factor: c.Factor, runs: c.Runs}
	}
	for _, o := range f.Stops {
		s.orders.Stops = append(s.orders.Stops, o.stop())
	}
	for name, t := range f.Teams {
		*s.team(name) = team{urgentPeak: t.UrgentPeak, peakedAt: t.Peaked.At(now), tokens: t.Tokens, refilledAt: t.Refilled}
	}
	for i := range f.Executors {
		s.restoreExecutor(&f.Executors[i], now)
	}
	for i := range f.Jobs {
		if err := s.restoreJob(&f.Jobs[i], spec(f.Jobs[i].ID), now); err != nil {
			return err
		}
	}
	s.changed = nil // Runs that were added aren't changes.
	for i := range f.Executors {
		e := s.executors[f.Executors[i].Info.ID]
		if e.changed = f.Executors[i].Changed; e.changed {
			s.changed = append(s.changed, e)
		}
	}
	if f.Advice != nil {
		s.AddAdviceAnswers(now, f.Advice, age)
	}
	s.restoreLearned(f, now)
	return nil
}
