package plan

import "time"

// A successor that lacks what follows goes on, but worse for seconds: it keeps no slots for short
// requests, takes its prior for the turnover of capacity, and moves more runs than there is room for.
// Snapshots of earlier programs lack it.

// peakFormat is a peak.
type peakFormat struct {
	Highest float64 `cbor:"1,keyasint"`
	At      Age     `cbor:"2,keyasint"`
}

// format returns nil for a peak that has noted nothing.
func (p *peak) format(now time.Time) *peakFormat {
	if p.at.IsZero() {
		return nil
	}
	return &peakFormat{Highest: p.highest, At: AgeOf(p.at, now)}
}

// turnoverFormat is a turnover.
type turnoverFormat struct {
	Freed    int64         `cbor:"1,keyasint,omitempty"`
	Part     float64       `cbor:"2,keyasint,omitempty"`
	Observed time.Duration `cbor:"3,keyasint,omitempty"`
	Updated  Age           `cbor:"4,keyasint"`
}

// format returns nil for a turnover that was never updated.
func (t *turnover) format(now time.Time) *turnoverFormat {
	if t.updatedAt.IsZero() {
		return nil
	}
	return &turnoverFormat{Freed: t.freed, Part: t.part, Observed: t.observed, Updated: AgeOf(t.updatedAt, now)}
}

// moveFormat is a pendingMove. There are maxPendingMoves at most, or one gang.
type moveFormat struct {
	Run    stopFormat `cbor:"1,keyasint"`
	Target string     `cbor:"2,keyasint"`
}

// moveFormats returns the formats of the moves that haven't ended.
func (s *State) moveFormats() []moveFormat {
	out := make([]moveFormat, 0, len(s.pendingMoves))
	for _, m := range s.pendingMoves {
		stop := Stop{Task: m.run.stage.taskID(m.run.index), Number: m.run.number, Executor: m.run.executor.info.ID}
		out = append(out, moveFormat{Run: stopFormatOf(stop), Target: m.target.info.ID})
	}
	return out
}

// restoreLearned restores what a successor could do without. It ignores values that can't be right,
// and moves of runs or to executors that it doesn't know.
func (s *State) restoreLearned(f *stateFormat, now time.Time) {
	if p := f.ShortRequests; p != nil && p.Highest >= 0 && p.Highest <= maxRestoredPeak {
		s.shortRequests = peak{highest: p.Highest, at: p.At.At(now)}
	}
	if t := f.Turnover; t != nil && t.Freed >= 0 && t.Part >= 0 && t.Part <= maxRestoredTurnover && t.Observed >= 0 && t.Observed <= maxRestoredObserved {
		s.turnover = turnover{freed: t.Freed, part: t.Part, observed: t.Observed, updatedAt: t.Updated.At(now)}
	}
	for i := range f.Moves {
		o := f.Moves[i].Run.stop()
		if r, target := s.find(o.Executor, o.Task, o.Number), s.executors[f.Moves[i].Target]; r != nil && target != nil {
			s.pendingMoves = append(s.pendingMoves, pendingMove{run: r, target: target})
		}
	}
}

const (
	// maxRestoredPeak is more than the number of hosts, and so of slots.
	maxRestoredPeak = 1 << 16
	// maxRestoredTurnover bounds the decaying part of all capacity that became free: it counts
	// some turnoverTime, and tasks take more than some milliseconds.
	maxRestoredTurnover = 1000
	// maxRestoredObserved bounds the decaying time of observation, which stays near turnoverTime
	// unless decisions are far apart.
	maxRestoredObserved = time.Hour
)
