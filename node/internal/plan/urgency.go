package plan

import (
	"cmp"
	"time"
)

const (
	// lateFactor times the latency objective is the age at which a job's result has
	// lost its value.
	lateFactor = 3
	// lateRankPenalty is the number of priorities that late work is moved back: it
	// goes behind work of lower priority that can still meet its objective.
	lateRankPenalty = 2
)

// urgency orders waiting stages: first by rank, lowest first, then by the latest
// start that meets the objective.
type urgency struct {
	rank        int
	latestStart time.Time
}

// compare returns a negative number if u goes before v.
func (u urgency) compare(v urgency) int {
	return cmp.Or(cmp.Compare(u.rank, v.rank), u.latestStart.Compare(v.latestStart))
}

// urgency returns the stage's place in the order of waiting stages.
func (st *stage) urgency(now time.Time) urgency {
	j := st.occur.job
	origin := st.occur.origin()
	u := urgency{rank: j.queue.Priority + j.mark.rankPenalty()}
	if j.overQuota {
		u.rank += overQuotaRankPenalty
	}
	if st.spec.Lasting {
		u.latestStart = origin
		return u
	}
	objective := j.latencyObjective()
	remaining := st.remainingPath()
	u.latestStart = origin.Add(objective - remaining)
	switch {
	case j.mark == markLate:
		u.latestStart = u.latestStart.Add((lateFactor - 1) * objective)
	case now.Add(remaining).After(origin.Add(lateFactor * objective)):
		u.rank += 2 * lateRankPenalty
	case now.Add(remaining).After(origin.Add(objective)):
		u.rank += lateRankPenalty
	}
	return u
}

// latencyObjective returns the time within which an occurrence of the job should
// finish, based on the estimates of its steps.
func (j *job) latencyObjective() time.Duration {
	return time.Duration(j.queue.Stretch*float64(j.criticalPath)) + j.queue.Slack
}

// objective returns the latency objective of a job. It is 0 for jobs that recur or
// have lasting tasks.
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

// remainingPath returns the longest path from the start of this stage to the end of
// the occurrence, by the estimates of the steps.
func (st *stage) remainingPath() time.Duration {
	if st.path > 0 {
		return st.path
	}
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
	st.path = longest
	return longest
}
