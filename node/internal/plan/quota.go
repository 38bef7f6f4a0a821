package plan

import "time"

const (
	// defaultQuotaWindow is the default window of WithQuota.
	defaultQuotaWindow = 2 * time.Second
	// overQuotaRankPenalty is the number of ranks that work over its team's quota is
	// moved back, so that all work that can meet its objective goes first.
	overQuotaRankPenalty = 3
)

// ChargeQuota counts a job that was accepted at sent against its team's quota, and
// reports whether it exceeds the quota.
func (s *State) ChargeQuota(team string, sent time.Time) bool {
	if team == "" || s.config == nil {
		return false
	}
	weight := s.config.Teams[team].Weight
	return s.team(team).exceedsQuota(weight, weight*s.quotaWindow.Seconds()+float64(s.quotaSlack), sent)
}

// exceedsQuota takes a token for a job that was accepted at sent from the team's
// bucket, and reports whether there was none. The bucket gains weight tokens a second
// and holds at most burst. Without a quota, a team that submits many times its usual
// load would take the capacity from the work of others.
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
