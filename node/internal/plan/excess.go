package plan

import "time"

const (
	// excessBurst is how much of its rate a team may submit at once, unless the
	// installation says how far rates may be exceeded.
	excessBurst = 2 * time.Second
	// excessRank is how many ranks work beyond a team's share waits behind: all
	// that is in time goes first.
	excessRank = 3
)

// Submitted counts a job that a team submitted at sent, and reports whether it is
// beyond the team's share.
func (s *State) Submitted(team string, sent time.Time) bool {
	if team == "" || s.config == nil {
		return false
	}
	weight := s.config.Teams[team].Weight
	return s.team(team).exceeds(weight, weight*s.window.Seconds()+float64(s.slack), sent)
}

// exceeds reports whether a job that was accepted at sent goes beyond the team's
// share, which is weight jobs a second and at most most at once. A team that sends many times its usual
// would otherwise take the room of the others' work.
func (t *team) exceeds(weight, most float64, sent time.Time) bool {
	if weight <= 0 {
		return false
	}
	if t.filled.IsZero() {
		t.tokens = most
	} else if d := sent.Sub(t.filled); d > 0 {
		t.tokens = min(most, t.tokens+weight*d.Seconds())
	}
	if sent.After(t.filled) {
		t.filled = sent
	}
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
}
