package plan

import (
	"time"
)

const (
	// lateFactor times the latency objective is when a job's result is worth
	// nothing any more.
	lateFactor = 3
	// lateRankPenalty is how many priorities a missed objective costs: late work
	// goes behind work of lower priority that is still in time.
	lateRankPenalty = 2
)

// urgency orders waiting stages: lower rank first, then the one that has to
// start first to meet its objective.
type urgency struct {
	rank        int
	latestStart time.Time
}

func (u urgency) before(v urgency) bool {
	if u.rank != v.rank {
		return u.rank < v.rank
	}
	return u.latestStart.Before(v.latestStart)
}

// urgency returns how urgent a stage is.
func (st *stage) urgency(now time.Time) urgency {
	j := st.occur.job
	origin := j.spec.Sent
	if j.spec.Times > 0 {
		origin = j.spec.Due(st.occur.number)
	}
	u := urgency{rank: j.queue.Priority}
	if j.overQuota {
		u.rank += overQuotaRankPenalty
	}
	if st.spec.Lasting {
		u.latestStart = origin
		return u
	}
	objective := j.latencyObjective()
	rest := st.remainingPath()
	u.latestStart = origin.Add(objective - rest)
	switch {
	case now.Add(rest).After(origin.Add(lateFactor * objective)):
		u.rank += 2 * lateRankPenalty
	case now.Add(rest).After(origin.Add(objective)):
		u.rank += lateRankPenalty
	}
	return u
}

// latencyObjective returns how long an occurrence of the job is meant to take, by its estimates.
func (j *job) latencyObjective() time.Duration {
	return time.Duration(j.queue.Stretch*float64(j.criticalPath)) + j.queue.Slack
}

// objective returns the latency objective of a job that runs once, 0 for others.
func (j *job) objective() time.Duration {
	if j.spec.Times > 0 {
		return 0
	}
	for i := range j.spec.Steps {
		if j.spec.Steps[i].Lasting {
			return 0
		}
	}
	return j.latencyObjective()
}

// remainingPath returns the longest path of estimates from this stage to the end.
func (st *stage) remainingPath() time.Duration {
	steps := st.occur.job.spec.Steps
	ends := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i := st.index; i < len(steps); i++ {
		if i > st.index {
			follows := false
			start := time.Duration(0)
			for _, a := range steps[i].After {
				if ends[a] > 0 {
					follows, start = true, max(start, ends[a])
				}
			}
			if !follows {
				continue
			}
			ends[i] = start + steps[i].Estimate
		} else {
			ends[i] = max(steps[i].Estimate, 1)
		}
		longest = max(longest, ends[i])
	}
	return longest
}
