package plan

import (
	"math"
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

const (
	// urgentPriority is the priority of queues whose work waits for nothing else.
	urgentPriority = 0
	// reserveDecay is how long a team's peak of urgent work is remembered: the time
	// constant of its decay.
	reserveDecay = 4 * time.Second
	// maxReserveShare is the most of a limit that is kept for urgent work.
	maxReserveShare = 0.5
)

// urgent reports whether the stage goes first: what a team submits beyond its share
// doesn't.
func (st *stage) urgent() bool {
	return st.occur.job.queue.Priority == urgentPriority && !st.occur.job.overQuota
}

// headroom returns how many tasks of a stage its team's limit lets start. A team
// that has filled its limit with other work would let its urgent work wait for
// that to end; what urgent work needed of late is kept for it.
func (s *State) headroom(st *stage, now time.Time) int {
	name := st.occur.job.spec.Team
	limit := model.Amount{}
	if s.config != nil {
		limit = s.config.Teams[name].Limit
	}
	t := s.team(name)
	if limit.CPU > 0 {
		if st.urgent() {
			t.recordUrgentDemand(t.urgentCPU+st.spec.Need.CPU*int64(st.waiting), now)
		} else {
			reserved := min(t.expectedUrgent(now), int64(maxReserveShare*float64(limit.CPU))) - t.urgentCPU
			limit.CPU = max(1, limit.CPU-max(0, reserved))
		}
	}
	return t.headroom(st.spec.Need, limit, st.waiting)
}

// recordUrgentDemand notes how much urgent work a team has or wants to have running.
func (t *team) recordUrgentDemand(cpu int64, now time.Time) {
	t.urgentPeak = max(t.expectedUrgent(now), cpu)
	t.peakedAt = now
}

// expectedUrgent returns how much urgent work a team is expected to have running.
func (t *team) expectedUrgent(now time.Time) int64 {
	if t.peakedAt.IsZero() {
		return 0
	}
	return int64(float64(t.urgentPeak) * math.Exp(-float64(now.Sub(t.peakedAt))/float64(reserveDecay)))
}
