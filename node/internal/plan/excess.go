package plan

import "time"

const (
	// defaultQuotaWindow is how much of its rate a team may submit at once, unless the
	// installation says how far rates may be exceeded.
	defaultQuotaWindow = 2 * time.Second
	// overQuotaRankPenalty is how many ranks work beyond a team's share waits behind: all
	// that is in time goes first.
	overQuotaRankPenalty = 3
)

// Submitted counts a job that a team submitted at sent, and reports whether it is
// beyond the team's share.
func (s *State) Submitted(team string, sent time.Time) bool {
	if team == "" || s.config == nil {
		return false
	}
	weight := s.config.Teams[team].Weight
	return s.team(team).exceedsQuota(weight, weight*s.quotaWindow.Seconds()+float64(s.quotaSlack), sent)
}

// exceedsQuota reports whether a job that was accepted at sent goes beyond the team's
// share, which is weight jobs a second and at most most at once. A team that sends many times its usual
// would otherwise take the room of the others' work.
func (t *team) exceedsQuota(weight, burst float64, sent time.Time) bool {
	if weight <= 0 {
		return false
	}
	if t.refilledAt.IsZero() {
		t.tokens = burst
	} else if d := sent.Sub(t.refilledAt); d > 0 {
		t.tokens = min(burst, t.tokens+weight*d.Seconds())
	}
	if sent.After(t.refilledAt) {
		t.refilledAt = sent
	}
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
}
