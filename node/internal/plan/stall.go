package plan

import "time"

const (
	// stallAfter is how long a run may at least make no progress before it counts as
	// stalled: twice the longest restore from a checkpoint.
	stallAfter = 1200 * time.Millisecond
	// stallPercents is the number of percents that a run should have made meanwhile, since
	// executors report whole ones.
	stallPercents = 3
	// maxStallDoublings bounds the doublings of that time.
	maxStallDoublings = 10
	// stallBackoff is how long an executor gets no new work after a run on it was
	// found stalled. Each further stalled run extends it.
	stallBackoff = 3 * time.Second
)

// An executor may answer while everything that runs on it is frozen for some seconds.
// Urgent work is then stopped and started elsewhere, and so is work that saves
// checkpoints; the rest waits.
//
// A run of hours stands at a percent for minutes, whatever its estimate says. So the time after
// which it counts as stalled follows its own progress, and doubles each time that it made none.

// Stall describes a run that made no progress.
type Stall struct {
	Stop
	Percent int           // its progress
	For     time.Duration // how long it has made none
	Stopped bool          // it was ordered to stop, to start elsewhere
}

// checkStall handles a run without progress in a report that was requested at
// requestedAt.
func (s *State) checkStall(r *run, requestedAt, now time.Time) {
	spec := r.stage.spec
	if spec.Lasting || spec.Gang || r.state != active || r.pace < fullPace || r.stage.spec.Filler && r.paceInDoubt || requestedAt.Sub(r.progressedAt) < r.stallTime() {
		return
	}
	if requestedAt.Sub(r.executor.progressedAt) >= stallAfter { // Otherwise the executor isn't frozen.
		r.executor.backoffUntil = now.Add(stallBackoff)
	}
	r.stage.tasks[r.index].stalls++
	stop := r.stage.urgent() || spec.Checkpoints
	s.orders.Stalls = append(s.orders.Stalls, Stall{
		Stop:    Stop{Task: r.stage.taskID(r.index), Number: r.number, Executor: r.executor.info.ID},
		Percent: r.percent, For: requestedAt.Sub(r.progressedAt), Stopped: stop,
	})
	if stop {
		s.stopRun(r, now)
		return
	}
	r.progressedAt = now // Check it again after another stallTime.
}

// stallTime returns how long the run may make no progress before it counts as stalled.
func (r *run) stallTime() time.Duration {
	return max(stallAfter, stallPercents*r.timePerPercent()) << min(r.stage.tasks[r.index].stalls, maxStallDoublings)
}

// timePerPercent returns how long the run takes for a percent of its task: by its progress, or by
// the estimate if it has made none.
func (r *run) timePerPercent() time.Duration {
	if made := r.percent - r.firstPercent; made > 0 {
		return r.progressTime / time.Duration(made)
	}
	return r.stage.spec.Estimate / fullPercent
}

// remaining returns how long the run is expected to go on, 0 if that isn't known.
func (r *run) remaining() time.Duration {
	return time.Duration(fullPercent-min(max(0, r.percent), fullPercent)) * r.timePerPercent()
}
