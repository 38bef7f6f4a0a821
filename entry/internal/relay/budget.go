package relay

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// retriesPerSecond is the rate at which each team's retry budget refills on
	// this host.
	retriesPerSecond = 5
	// retryBurst is the largest number of retries in a team's budget.
	retryBurst = 20
)

// budget limits the rate of each team's retries, so that a failure doesn't
// multiply the load.
type budget struct {
	mu    sync.Mutex // guards teams
	teams map[string]*rate.Limiter
}

func newBudget() *budget { return &budget{teams: make(map[string]*rate.Limiter)} }

// take takes one retry from the team's budget. It reports false if none is left.
func (b *budget) take(team string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.teams[team]
	if l == nil {
		l = rate.NewLimiter(retriesPerSecond, retryBurst)
		b.teams[team] = l
	}
	return l.AllowN(now, 1)
}
