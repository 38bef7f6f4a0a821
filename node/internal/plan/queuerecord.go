package plan

import "time"

const (
	// typicalSmoothing is the weight of a job in the typical one of its queue and size.
	typicalSmoothing = 0.1
	// runTimeSmoothing is the weight of a run in the learned run times of its queue.
	runTimeSmoothing = 0.05
	// minTypicalRuns is the number of runs from which learned run times are used.
	minTypicalRuns = 20
	// maxValuedShare is the share of jobs that start in time from which jobs like them aren't rejected.
	maxValuedShare = 0.125
)

// queueRecord is what is learned of a queue's jobs.
type queueRecord struct {
	started   flow    // jobs
	arrived   [2]flow // jobs, within and beyond the quota
	valued    [2]flow // the same that started early enough to end with value
	typical   [SizeClasses]typicalJob
	runs      int        // that were timed
	ratio     float64    // mean of run times divided by estimates
	deviation float64    // mean deviation from ratio
	margins   [2]float64 // of forecasts, within and beyond the quota
}

// margin returns the factor by which forecasts for jobs with a mark of the quota may be too long. While
// many of these jobs start in time, no forecast to the contrary holds: small tasks fit between large ones
// that wait before them, which a forecast doesn't see.
func (q *queueRecord) margin(mark int, now time.Time) float64 {
	if q.valued[mark].rate(now, flowBuckets*flowBucket) > maxValuedShare*q.arrived[mark].rate(now, flowBuckets*flowBucket) {
		return maxMargin
	}
	return q.margins[mark]
}

// leastRunTime returns the least run time to expect, in percent of the estimate.
func (q *queueRecord) leastRunTime() int {
	if q.runs < minTypicalRuns {
		return 0
	}
	return int(100 * min(1, max(0, q.ratio-q.deviation)))
}

// typicalJob is the mean of recent jobs of a queue and size.
type typicalJob struct {
	known bool
	path  time.Duration // longest path through its steps
	need  float64       // CPU of its largest task, in thousandths of a core
	work  float64       // core-seconds
}

// learn updates the typical job.
func (t *typicalJob) learn(j *job, work float64) {
	need := 0.0
	for i := range j.spec.Steps {
		need = max(need, float64(j.spec.Steps[i].Room().CPU))
	}
	if !t.known {
		*t = typicalJob{known: true, path: j.criticalPath, need: need, work: work}
		return
	}
	t.need += typicalSmoothing * (need - t.need)
	t.work += typicalSmoothing * (work - t.work)
	t.path += time.Duration(typicalSmoothing * float64(j.criticalPath-t.path))
}
