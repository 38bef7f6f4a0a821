package plan

import "time"

const (
	// faultyStreak is how many runs of different jobs have to fail in a row on an
	// executor until the fault counts as its own.
	faultyStreak = 2
	// faultyBackoff is how long such an executor gets no new work; after that one
	// more fault is enough.
	faultyBackoff = 3 * time.Second
)

// noteFailure notes a failed run of a job.
func (e *executor) noteFailure(job string, now time.Time) {
	if job != e.lastFailedJob {
		e.lastFailedJob = job
		e.failureStreak++
	}
	if e.failureStreak >= faultyStreak {
		e.backoffUntil = now.Add(faultyBackoff)
	}
}

// noteSuccess notes a run that was done.
func (e *executor) noteSuccess() { e.failureStreak, e.lastFailedJob = 0, "" }
