package plan

import "time"

const (
	// stallAfter is how long a run may make no progress before it counts as stalled:
	// twice the longest restore from a checkpoint.
	stallAfter = 1200 * time.Millisecond
	// stallBackoff is how long an executor gets no new work after a run on it was
	// found stalled. Each further stalled run extends it.
	stallBackoff = 3 * time.Second
)

// An executor may answer while everything that runs on it is frozen for some seconds.
// Urgent work is then stopped and started elsewhere, and so is work that saves
// checkpoints; the rest waits.

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
	if spec.Lasting || spec.Gang || r.state != active || r.pace < fullPace || requestedAt.Sub(r.progressedAt) < stallAfter {
		return
	}
	r.executor.backoffUntil = now.Add(stallBackoff)
	stop := r.stage.urgent() || spec.Checkpoints
	s.orders.Stalls = append(s.orders.Stalls, Stall{
		Stop:    Stop{Task: r.stage.taskID(r.index), Number: r.number, Executor: r.executor.info.ID},
		Percent: r.percent, For: requestedAt.Sub(r.progressedAt), Stopped: stop,
	})
	if stop {
		s.stopRun(r, now)
		return
	}
	r.progressedAt = now // Check it again after another stallAfter.
}
