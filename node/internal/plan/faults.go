package plan

import "time"

const (
	// faultsToShun is how many runs of different jobs have to fail in a row on an
	// executor until the fault counts as its own.
	faultsToShun = 2
	// shunFaulty is how long such an executor gets no new work; after that one
	// more fault is enough.
	shunFaulty = 3 * time.Second
)

// failed notes a failed run of a job.
func (w *worker) failed(job string, now time.Time) {
	if job != w.suspect {
		w.suspect = job
		w.faults++
	}
	if w.faults >= faultsToShun {
		w.shunned = now.Add(shunFaulty)
	}
}

// succeeded notes a run that was done.
func (w *worker) succeeded() { w.faults, w.suspect = 0, "" }
