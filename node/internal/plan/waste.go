package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// Waste is the reason for which the work of a run was lost.
type Waste int

// The reasons for which work is lost.
const (
	WastedLapsed Waste = iota // the run's lease expired
	WastedLost                // the executor was lost, or has lost the run
	WastedCopy                // another run of the task was faster, or found beside it
	WastedStop                // an order stopped the run
	WastedGang                // another member of the gang ended
	wasteCount
)

// Wastes lists all reasons for which work is lost.
func Wastes() []Waste {
	return []Waste{WastedLapsed, WastedLost, WastedCopy, WastedStop, WastedGang}
}

// String returns the reason's name, such as "lapsed".
func (w Waste) String() string {
	switch w {
	case WastedLapsed:
		return "lapsed"
	case WastedLost:
		return "lost"
	case WastedCopy:
		return "copy"
	case WastedStop:
		return "stop"
	case WastedGang:
		return "gang"
	case wasteCount:
	}
	return "unknown"
}

// wasteOf returns for which reason the work of a run is lost that has ended, and false if it
// isn't or the run's own task is to blame.
func wasteOf(r *run, outcome model.Outcome) (Waste, bool) {
	done := r.stage.tasks[r.index].done
	if r.stage.spec.Gang && r.stage.unfinished == 0 {
		return 0, false // The success of one member completes all tasks.
	}
	switch outcome {
	case model.RunDone:
		return WastedCopy, done
	case model.RunStopped:
		if r.unwanted || done {
			return WastedCopy, true
		}
		return WastedStop, true
	case model.RunLapsed:
		return WastedLapsed, true
	case model.RunBroken, model.RunAlone:
		return WastedGang, true
	case model.RunFailed:
	}
	return 0, false
}

// noteWasted counts the work that a run has done since its last checkpoint, or since its owner
// knows of it, until it was last known to be at work. A run that no executor has confirmed may
// have done none. Lasting tasks produce nothing that could be lost, and what a team cancels isn't
// lost either.
func (s *State) noteWasted(r *run, cause Waste, until time.Time) {
	if !r.ran || r.stage.spec.Lasting || r.stage.occur.job.phase == model.Cancelled {
		return
	}
	since := r.startedAt
	if at := r.stage.savedAt(r.index); at.After(since) {
		since = at
	}
	cores := float64(r.need.CPU) / milli
	if r.stage.spec.Filler {
		cores *= float64(r.pace) / fullPace
	}
	s.wasted[cause] += cores * max(0, until.Sub(since).Seconds()) * milli
}

// milli is the number of thousandths in one.
const milli = 1000

// lastSeen returns when an executor last answered.
func (e *executor) lastSeen() time.Time {
	if e.silent {
		return e.silentSince
	}
	return e.lastReport
}

// workedUntil returns until when a run is known to have worked that ended by a report at now. A
// lease that expired did so at an unknown time after the executor was found not to answer.
func (r *run) workedUntil(outcome model.Outcome, now time.Time) time.Time {
	if outcome == model.RunLapsed && r.executor.silentSince.After(r.startedAt) {
		return r.executor.silentSince
	}
	return now
}

// TakeWasted returns the work that was lost since the last call, in core-milliseconds, by reason.
func (s *State) TakeWasted() map[Waste]int64 {
	out := make(map[Waste]int64)
	for w, amount := range s.wasted {
		if whole := int64(amount); whole > 0 {
			out[Waste(w)] = whole
			s.wasted[w] -= float64(whole)
		}
	}
	return out
}
