package plan

import (
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// job is an accepted job.
type job struct {
	spec         *model.Job
	order        *waitOrder // of the State
	team         *team
	queue        model.Queue
	inherited    bool // an earlier owner had it; there may be runs of it that this owner doesn't know
	phase        model.Phase
	recorded     model.Phase         // phase that was recorded last; model.Queued without a record
	occurs       map[int]*occurrence // begun and unfinished occurrences, by number
	single       *occurrence         // the one in occurs if the job doesn't recur, or nil
	next         int                 // first occurrence that hasn't begun
	coming       *occurrence         // the next one, if the adviser was asked about it before it began, or nil
	ahead        map[int]bool        // later occurrences that have finished already, by number
	delay        Delay
	overQuota    bool          // it exceeds its team's submission quota
	runCount     int           // runs that may exist on executors
	failures     int           // failed runs of tasks that aren't done
	occurSize    int           // of an occurrence without runs in the record, in bytes
	version      int           // increases with each change of the progress
	criticalPath time.Duration // longest path through the steps, by their estimates
	size         float64       // core-seconds of an occurrence, by the estimates
	sizes        *jobSizes     // of its queue
	unbounded    bool          // it recurs or has lasting tasks
	mark         mark          // of the last sweep
	floored      bool          // it is to be in time in spite of its work
	unreserved   bool          // it is floored, and not enough executors are reserved for it
	judged       bool          // it counts for the floor of its queue
}

// AddJob adds a job with the progress that an earlier owner recorded, or nil for a
// new job. It returns false if the job is known already. Jobs must be added in the
// order in which they were accepted, since each counts against its team's quota.
func (s *State) AddJob(now time.Time, spec *model.Job, progress *model.Progress) bool {
	if s.jobs[spec.ID] != nil || s.ended[spec.ID] {
		return false
	}
	j := &job{spec: spec, team: s.team(spec.Team), inherited: progress != nil, occurs: make(map[int]*occurrence), ahead: make(map[int]bool)}
	j.criticalPath, j.occurSize = criticalPath(spec.Steps), spec.OccurrenceSize()
	if spec.Terms != nil {
		j.queue = spec.Terms.Queue
		j.queue.Name = spec.Queue
	}
	j.updateQueue(s.config)
	j.overQuota = s.ChargeQuota(spec.Team, spec.Sent)
	s.order.addJob(j)
	if progress != nil {
		j.phase, j.recorded = progress.Phase, progress.Phase // A job that has ended stays until its last runs are gone.
		s.restoreOccurrences(j, progress, now)
	} else {
		s.noteArrival(j, now)
	}
	s.noteSize(j)
	s.jobs[spec.ID] = j
	return true
}

// Phase returns a job and its phase, and whether the job is known. A job
// whose end may not be recorded yet is returned as running. A cancelled one is
// returned as such, since a cancellation is stored before it gets here.
func (s *State) Phase(id string) (*model.Job, model.Phase, bool) {
	j := s.jobs[id]
	if j == nil {
		return nil, model.Queued, false
	}
	if j.phase.Final() && j.phase != model.Cancelled {
		return j.spec, model.Running, true
	}
	return j.spec, j.phase, true
}

// updateQueue copies the settings of the job's queue from config, if they are there. The job
// keeps those that it had if its queue has been removed.
func (j *job) updateQueue(config *model.Config) {
	if config == nil {
		return
	}
	if q, ok := config.Queues[j.spec.Queue]; ok {
		j.queue = q
	}
}

// Unconfigured returns the number of jobs that haven't ended and whose queue the configuration
// lacks.
func (s *State) Unconfigured() int {
	n := 0
	for _, j := range s.jobs {
		if s.config == nil || j.phase.Final() {
			continue
		}
		if _, ok := s.config.Queues[j.spec.Queue]; !ok {
			n++
		}
	}
	return n
}

// maxAttempts returns how many failed runs of a task make the job fail.
func (j *job) maxAttempts() int { return max(1, j.queue.Attempts) }

// markDirty notes that the job's progress has changed and has to be recorded.
func (s *State) markDirty(j *job) {
	j.version++
	s.dirty[j.spec.ID] = j
}

// criticalPath returns the length of the longest path through steps, by their
// estimates.
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
