package plan

import (
	"math"
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

const (
	// urgentPriority is the priority of queues whose work goes first.
	urgentPriority = 0
	// reserveDecay is the time constant with which a team's peak demand for urgent
	// work decays.
	reserveDecay = 4 * time.Second
	// maxReserveShare is the largest fraction of a team's limit that is reserved for
	// urgent work.
	maxReserveShare = 0.5
)

// urgent reports whether the stage is urgent work. Work over its team's quota isn't.
func (st *stage) urgent() bool {
	return st.occur.job.queue.Priority == urgentPriority && !st.occur.job.overQuota
}

// headroom returns how many waiting tasks of a stage fit under its team's limit. The
// CPU that the team's urgent work needed recently is reserved for it: otherwise other
// work of the team could fill the limit, and urgent work would wait for that to end.
func (s *State) headroom(st *stage, now time.Time) int {
	t := st.occur.job.team
	limit := s.usableLimit(st, t, now)
	if limit.CPU > 0 && st.urgent() {
		t.recordUrgentDemand(t.urgentCPU+st.spec.Need.CPU*int64(st.waiting), now)
	}
	return t.headroom(st.spec.Need, limit, st.waiting)
}

// usableLimit returns the limit of the stage's team t without what is reserved for other work.
func (s *State) usableLimit(st *stage, t *team, now time.Time) model.Amount {
	limit := s.limit(t, st.occur.job.spec)
	if limit.CPU > 0 && !st.urgent() {
		reserved := min(t.expectedUrgent(now), int64(maxReserveShare*float64(limit.CPU))) - t.urgentCPU
		limit.CPU = max(1, limit.CPU-max(0, reserved))
	}
	if r := t.reservedFor; limit.CPU > 0 && r != nil && r != st {
		limit.CPU = max(1, limit.CPU-r.spec.Need.CPU)
	}
	return limit
}

// withinLimit reports whether the runs of the stage's team fit under the limit that is usable for
// the stage, so that a run of it that is stopped may start again.
func (s *State) withinLimit(st *stage, now time.Time) bool {
	t := st.occur.job.team
	limit, used := s.usableLimit(st, t, now), t.used
	return (limit.CPU == 0 || used.CPU <= limit.CPU) && (limit.Memory == 0 || used.Memory <= limit.Memory) && (limit.Accel == 0 || used.Accel <= limit.Accel)
}

// recordableRuns returns how many more runs of a stage's job the job's record can hold. If the job
// has none, that is at least what the stage needs to start, so that it never waits for ever.
func (s *State) recordableRuns(st *stage) int {
	j := st.occur.job
	n := model.MaxRuns(s.recordSize, j.recordedOccurrences(), j.failures, s.longestID) - j.runCount
	switch {
	case j.runCount > 0:
		return max(0, n)
	case st.spec.Gang:
		return max(len(st.tasks), n)
	}
	return max(1, n)
}

// recordUrgentDemand records the CPU that a team's urgent work has and waits for.
func (t *team) recordUrgentDemand(cpu int64, now time.Time) {
	t.urgentPeak = max(t.expectedUrgent(now), cpu)
	t.peakedAt = now
}

// expectedUrgent returns the CPU that a team's urgent work is expected to need.
func (t *team) expectedUrgent(now time.Time) int64 {
	if t.peakedAt.IsZero() {
		return 0
	}
	return int64(float64(t.urgentPeak) * math.Exp(-float64(now.Sub(t.peakedAt))/float64(reserveDecay)))
}
