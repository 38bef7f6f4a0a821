package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// job is an accepted job that hasn't ended.
type job struct {
	spec         *model.Job
	queue        model.Queue
	inherited    bool // it was there before this owner, which may not know all its runs
	phase        model.Phase
	recorded     model.Phase         // the phase that was recorded last; without a record it is queued
	occurs       map[int]*occurrence // begun and not finished
	finished     map[int]bool        // occurrences
	delay        Delay
	overQuota    bool          // beyond its team's share
	runCount     int           // that may be present on executors
	version      int           // changes with each thing that is to be recorded
	criticalPath time.Duration // longest path of estimates through the steps
}

// AddJob takes a job into the plan, with the progress that an earlier owner
// recorded or nil. It reports whether the job is new here. Several jobs are to be
// added in the order in which they were accepted.
func (s *State) AddJob(now time.Time, spec *model.Job, progress *model.Progress) bool {
	if s.jobs[spec.ID] != nil || s.ended[spec.ID] {
		return false
	}
	j := &job{spec: spec, inherited: progress != nil, occurs: make(map[int]*occurrence), finished: make(map[int]bool)}
	j.criticalPath = criticalPath(spec.Steps)
	j.updateQueue(s.config)
	j.overQuota = s.Submitted(spec.Team, spec.Sent)
	if progress != nil {
		j.phase, j.recorded = progress.Phase, progress.Phase // A job that has ended is kept for what may still run of it.
		s.restore(j, progress, now)
	}
	s.jobs[spec.ID] = j
	return true
}

// Phase returns the queue of a job and how far it has come, and whether it is
// known. An end may not be recorded yet: it is told as running, but for a cancellation,
// which was stored before it came here.
func (s *State) Phase(id string) (string, model.Phase, bool) {
	j := s.jobs[id]
	if j == nil {
		return "", model.Queued, false
	}
	if j.phase.Final() && j.phase != model.Cancelled {
		return j.spec.Queue, model.Running, true
	}
	return j.spec.Queue, j.phase, true
}

// updateQueue takes the job's queue from a configuration, if it is there.
func (j *job) updateQueue(config *model.Config) {
	if config == nil {
		return
	}
	if q, ok := config.Queues[j.spec.Queue]; ok {
		j.queue = q
	}
}

// maxAttempts returns how many runs of a task may fail.
func (j *job) maxAttempts() int { return max(1, j.queue.Attempts) }

// occurrence returns occurrence k, which is made when needed, or nil if it has
// finished.
func (j *job) occurrence(k int) *occurrence {
	if j.finished[k] || k < 0 || k >= j.spec.Occurrences() {
		return nil
	}
	o := j.occurs[k]
	if o == nil {
		o = newOccurrence(j, k)
		j.occurs[k] = o
	}
	return o
}

// nextDue returns the next occurrence that hasn't begun, if it is due.
func (j *job) nextDue(now time.Time) (int, bool) {
	for k := range j.spec.Occurrences() {
		if j.finished[k] || j.occurs[k] != nil {
			continue
		}
		return k, !j.spec.Due(k).After(now)
	}
	return 0, false
}

// markDirty marks the job as having something to record.
func (s *State) markDirty(j *job) {
	j.version++
	s.dirty[j.spec.ID] = j
}

// criticalPath returns the longest path of estimates through steps.
func criticalPath(steps []model.Step) time.Duration {
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i := range steps {
		start := time.Duration(0)
		for _, a := range steps[i].After {
			start = max(start, ends[a])
		}
		ends[i] = start + steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}
