package plan

import (
	"math"
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

const (
	// urgentPriority is the priority of queues whose work waits for nothing else.
	urgentPriority = 0
	// reserveTime is how long a team's peak of urgent work is remembered: the time
	// constant of its decay.
	reserveTime = 4 * time.Second
	// reserveShare is the most of a limit that is kept for urgent work.
	reserveShare = 0.5
)

// urgent reports whether the stage goes first: what a team submits beyond its share
// doesn't.
func (st *stage) urgent() bool {
	return st.occur.job.queue.Priority == urgentPriority && !st.occur.job.excess
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
			t.expect(t.urgent+st.spec.Need.CPU*int64(st.waiting), now)
		} else {
			kept := min(t.expected(now), int64(reserveShare*float64(limit.CPU))) - t.urgent
			limit.CPU = max(1, limit.CPU-max(0, kept))
		}
	}
	return t.headroom(st.spec.Need, limit, st.waiting)
}

// expect notes how much urgent work a team has or wants to have running.
func (t *team) expect(cpu int64, now time.Time) {
	t.peak = max(t.expected(now), cpu)
	t.peaked = now
}

// expected returns how much urgent work a team is expected to have running.
func (t *team) expected(now time.Time) int64 {
	if t.peaked.IsZero() {
		return 0
	}
	return int64(float64(t.peak) * math.Exp(-float64(now.Sub(t.peaked))/float64(reserveTime)))
}
