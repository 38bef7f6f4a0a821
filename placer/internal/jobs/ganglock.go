package jobs

import (
	"slices"
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/timer"
)

const (
	// turnTime is how long a gang is waited for whose driver is silent.
	waiterTTL = 3 * time.Second
	// gatherTime bounds a turn while others wait for theirs. A placer keeps
	// its endpoints from all other work for a gang that has waited for less.
	maxLockHold = 15 * time.Minute
)

// turns lets one gang at a time book room at several placers, in the order in
// which they asked, so that none keeps from another what it has in part. Two
// placers that both think the turns are theirs to give do no harm but waste:
// a gang that loses its turn gives back what it has. All methods may be
// called concurrently.
type gangLock struct {
	timer *timer.Service

	mu      sync.Mutex // guards list
	waiters []*waiter
}

// turn is one gang's place in the line.
type waiter struct {
	id         string
	lastAsked  time.Duration // last
	firstSince time.Duration // when it came first in the line
}

func newGangLock(t *timer.Service) *gangLock { return &gangLock{timer: t} }

// ask reports whether it is a gang's turn.
func (s *gangLock) acquire(in *lockRequest) bool {
	now := s.timer.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiters = slices.DeleteFunc(s.waiters, func(t *waiter) bool {
		return now-t.lastAsked > waiterTTL || in.Release && t.id == in.ID
	})
	if in.Release {
		return false
	}
	i := slices.IndexFunc(s.waiters, func(t *waiter) bool { return t.id == in.ID })
	if i < 0 {
		i = len(s.waiters)
		s.waiters = append(s.waiters, &waiter{id: in.ID})
	}
	s.waiters[i].lastAsked = now
	first := s.waiters[0]
	if first.firstSince == 0 {
		first.firstSince = now
	}
	if len(s.waiters) > 1 && now-first.firstSince > maxLockHold {
		first.firstSince = 0
		s.waiters = append(s.waiters[1:], first)
		s.waiters[0].firstSince = now
	}
	return s.waiters[0].id == in.ID
}
