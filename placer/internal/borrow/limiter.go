package borrow

import (
	"sync"

	"github.com/balsamford/balsamford/coord/parts"
	"github.com/balsamford/balsamford/placer/internal/limit"
)

// Limiter is the sched.Limit of a placer. It signals when a team begins to lack
// room. When the placer reopens its own endpoint under a new epoch, the usage
// that passes to the placer itself is released, because the placer counts it
// again when it adopts the tasks.
type Limiter struct {
	*limit.Keeper
	self       string
	lackSignal chan struct{} // signals that another team began to lack room

	mu      sync.Mutex      // guards lacking
	lacking map[string]bool // teams that are known to lack room
}

// NewLimiter returns a Limiter for the placer that holds parts under the name self.
func NewLimiter(k *limit.Keeper, self string) *Limiter {
	return &Limiter{Keeper: k, self: self, lackSignal: make(chan struct{}, 1), lacking: make(map[string]bool)}
}

// Take implements sched.Limit.
func (l *Limiter) Take(team string, n parts.Amount) bool {
	return l.signalLack(team, l.Keeper.Take(team, n))
}

// Room implements sched.Limit.
func (l *Limiter) Room(team string, n parts.Amount) bool {
	return l.signalLack(team, l.Keeper.Room(team, n))
}

// signalLack returns ok. If ok is false and the team wasn't known to lack room,
// it sends a signal to lackSignal.
func (l *Limiter) signalLack(team string, ok bool) bool {
	if ok || l.markLacking(team) {
		return ok
	}
	select {
	case l.lackSignal <- struct{}{}:
	default:
	}
	return false
}

// markLacking records that a team lacks room and reports whether that was
// known.
func (l *Limiter) markLacking(team string) (known bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known = l.lacking[team]
	l.lacking[team] = true
	return known
}

// SetLacking replaces the set of teams that are known to lack room by those in
// wants.
func (l *Limiter) SetLacking(wants map[string]parts.Amount) {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.lacking)
	for team := range wants {
		l.lacking[team] = true
	}
}

// LackSignal returns a channel that receives when a team that wasn't known to lack
// room begins to lack it.
func (l *Limiter) LackSignal() <-chan struct{} { return l.lackSignal }

// Transfer implements sched.Limit.
func (l *Limiter) Transfer(team string, n parts.Amount, newOwner string) {
	if newOwner == l.self {
		l.Give(team, n)
		return
	}
	l.Keeper.Transfer(team, n, newOwner)
}
