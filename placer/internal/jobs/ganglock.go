package jobs

import (
	"slices"
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/timer"
)

const (
	// waiterTTL is how long a gang keeps its place in the queue without a
	// request from its driver.
	waiterTTL = 3 * time.Second
	// maxLockHold bounds how long one gang holds the lock while others wait.
	// It is longer than a gang has to wait before a placer stops giving its
	// endpoints to other work, so that the holder gets that far.
	maxLockHold = 15 * time.Minute
)

// gangLock is a FIFO lock that lets one gang at a time reserve capacity at
// several placers. It prevents a deadlock of gangs that each hold part of what
// the others need. It is advisory: if two placers both grant it, gangs only
// waste time, since one that loses the lock releases its reservations. All
// methods may be called concurrently.
type gangLock struct {
	timer *timer.Service

	mu      sync.Mutex // guards waiters
	waiters []*waiter
}

// waiter is one gang in the queue for the lock. The head of the queue holds it.
type waiter struct {
	id          string
	lastRequest time.Duration // when its driver last sent a request
	headSince   time.Duration // when it became the head; 0 if it is not
}

func newGangLock(t *timer.Service) *gangLock { return &gangLock{timer: t} }

// acquire queues or renews a gang and reports whether it holds the lock. A
// release removes the gang and reports false.
func (l *gangLock) acquire(in *lockRequest) bool {
	now := l.timer.Boot()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.waiters = slices.DeleteFunc(l.waiters, func(w *waiter) bool {
		return now-w.lastRequest > waiterTTL || in.Release && w.id == in.ID
	})
	if in.Release {
		return false
	}
	i := slices.IndexFunc(l.waiters, func(w *waiter) bool { return w.id == in.ID })
	if i < 0 {
		i = len(l.waiters)
		l.waiters = append(l.waiters, &waiter{id: in.ID})
	}
	l.waiters[i].lastRequest = now
	head := l.waiters[0]
	if head.headSince == 0 {
		head.headSince = now
	}
	if len(l.waiters) > 1 && now-head.headSince > maxLockHold {
		head.headSince = 0
		l.waiters = append(l.waiters[1:], head)
		l.waiters[0].headSince = now
	}
	return l.waiters[0].id == in.ID
}
