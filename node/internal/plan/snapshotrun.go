package plan

import "time"

// runFormat is a run in a snapshot.
type runFormat struct {
	Number       int           `cbor:"1,keyasint"`
	Executor     string        `cbor:"2,keyasint"`
	State        runState      `cbor:"3,keyasint,omitempty"`
	Started      Age           `cbor:"4,keyasint,omitempty"`
	Confirmed    Age           `cbor:"5,keyasint,omitempty"`
	Unwanted     bool          `cbor:"6,keyasint,omitempty"`
	Spare        bool          `cbor:"7,keyasint,omitempty"`
	Restored     bool          `cbor:"8,keyasint,omitempty"`
	Seen         bool          `cbor:"9,keyasint,omitempty"`
	StopOrdered  Age           `cbor:"10,keyasint,omitempty"`
	Percent      int           `cbor:"11,keyasint,omitempty"`
	FirstPercent int           `cbor:"12,keyasint,omitempty"`
	FirstReport  Age           `cbor:"13,keyasint,omitempty"`
	ProgressTime time.Duration `cbor:"14,keyasint,omitempty"`
	Progressed   Age           `cbor:"15,keyasint,omitempty"`
	Gauge        int64         `cbor:"16,keyasint,omitempty"`
	Pace         int           `cbor:"17,keyasint,omitempty"`
	PaceInDoubt  bool          `cbor:"18,keyasint,omitempty"`
	Ran          bool          `cbor:"19,keyasint,omitempty"` // absent in snapshots of earlier programs
}

func (r *run) format(now time.Time) runFormat {
	f := runFormat{
		Number: r.number, Executor: r.executor.info.ID, State: r.state, Started: AgeOf(r.startedAt, now), Confirmed: AgeOf(r.confirmedAt, now), Unwanted: r.unwanted, Spare: r.spare, Restored: r.restored,
		Seen: r.seen, StopOrdered: AgeOf(r.stopOrderedAt, now), Percent: r.percent, FirstPercent: r.firstPercent, FirstReport: AgeOf(r.firstReport, now), ProgressTime: r.progressTime,
		Progressed: AgeOf(r.progressedAt, now), Gauge: r.gauge, Pace: r.pace, PaceInDoubt: r.paceInDoubt, Ran: r.ran,
	}
	if r.state == starting {
		f.State = inDoubt // The answer goes to this owner only.
	}
	return f
}

// restoreRun adds a run of a snapshot to its executor, its task and its team.
func (s *State) restoreRun(st *stage, i int, f *runFormat, now time.Time) error {
	e, t := s.executors[f.Executor], &st.tasks[i]
	if e == nil || f.State < starting || f.State > stopping || s.find(f.Executor, st.taskID(i), f.Number) != nil || !f.Unwanted && t.run != nil {
		return &SnapshotError{Reason: "damaged run of job " + st.occur.job.spec.ID}
	}
	r := s.newRun(st, i, f.Number, e, f.State, f.Started.At(now))
	r.confirmedAt, r.spare, r.restored, r.seen = f.Confirmed.At(now), f.Spare, f.Restored, f.Seen
	r.ran = f.Ran || f.Seen
	r.stopOrderedAt, r.percent, r.firstPercent, r.firstReport = f.StopOrdered.At(now), f.Percent, f.FirstPercent, f.FirstReport.At(now)
	r.progressTime, r.progressedAt, r.gauge, r.pace, r.paceInDoubt = f.ProgressTime, f.Progressed.At(now), f.Gauge, f.Pace, f.PaceInDoubt
	if f.Unwanted {
		s.markUnwanted(r)
	} else {
		st.attach(i, r)
	}
	return nil
}
