package plan

import "time"

const (
	// stallAfter is how long a run may make no progress until it counts as stalled:
	// twice what the longest restore from a checkpoint takes.
	stallAfter = 1200 * time.Millisecond
	// stallBackoff keeps new work from an executor on which a run has stalled; while
	// more of them do that starts anew.
	stallBackoff = 3 * time.Second
)

// Load pattern: executors answer, and all that runs on them stands still for some
// seconds. Urgent work is stopped there and started elsewhere, and so is work that
// saves its progress; the rest waits.

// Stall is a run that made no progress.
type Stall struct {
	Stop
	Percent int           // how far it had come
	For     time.Duration // how long it stood still
	Stopped bool          // it is started elsewhere
}

// checkStall looks at a run that the executor reported without progress when it was
// asked at asked.
func (s *State) checkStall(r *run, asked, now time.Time) {
	spec := r.stage.spec
	if spec.Lasting || spec.Gang || r.state != active || r.pace < fullPace || asked.Sub(r.progressedAt) < stallAfter {
		return
	}
	r.executor.backoffUntil = now.Add(stallBackoff)
	stop := r.stage.urgent() || spec.Checkpoints
	s.orders.Stalls = append(s.orders.Stalls, Stall{
		Stop:    Stop{Task: r.stage.taskID(r.index), Number: r.number, Executor: r.executor.info.ID},
		Percent: r.percent, For: asked.Sub(r.progressedAt), Stopped: stop,
	})
	if stop {
		s.stopRun(r, now)
		return
	}
	r.progressedAt = now // It is looked at again after as long.
}
