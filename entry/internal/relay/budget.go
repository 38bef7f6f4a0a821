package relay

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// retryRate is how many retries a team earns in a second on this host.
	retryRate = 5
	// retryBurst is how many retries a team can save up.
	retryBurst = 20
)

// budget limits each team's retries, so that a failure doesn't multiply the
// load.
type budget struct {
	mu    sync.Mutex // guards teams
	teams map[string]*rate.Limiter
}

func newBudget() *budget { return &budget{teams: make(map[string]*rate.Limiter)} }

// take reports whether the team may retry now.
func (b *budget) take(team string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.teams[team]
	if l == nil {
		l = rate.NewLimiter(retryRate, retryBurst)
		b.teams[team] = l
	}
	return l.AllowN(now, 1)
}
