package plan

import "time"

const (
	// faultyStreak is how many runs of different jobs have to fail on an executor
	// without a success before the failures are attributed to the executor.
	faultyStreak = 2
	// faultyBackoff is how long such an executor gets no new work. After that one
	// more failure starts it again.
	faultyBackoff = 3 * time.Second
)

// noteFailure counts a failed run of a job.
func (e *executor) noteFailure(job string, now time.Time) {
	if job != e.lastFailedJob {
		e.lastFailedJob = job
		e.failureStreak++
		e.noteResult(true, now)
	}
	if e.failureStreak >= faultyStreak {
		e.backoffUntil = now.Add(faultyBackoff)
	}
}

// noteSuccess resets the count of failures after a successful run.
func (e *executor) noteSuccess(now time.Time) {
	e.failureStreak, e.lastFailedJob = 0, ""
	e.noteResult(false, now)
}
