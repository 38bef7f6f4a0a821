package serve

import (
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/timer"
)

const (
	// floorTime is how long earlier attempts of a request are refused after a
	// search. A message can't come later than its connection lasts.
	floorTime = time.Minute
	// floorLimit bounds the requests whose earlier attempts are refused.
	floorLimit = 4096
)

// floor is the latest attempt of a request that is refused.
type floor struct {
	attempt uint32
	until   time.Time
}

// floors has the quick requests of which an entry was told that nothing is
// left, so that a message that was under way meanwhile starts nothing. All
// methods may be called concurrently.
type floors struct {
	clock *timer.Service

	mu    sync.Mutex // guards the fields below
	byID  map[string]floor
	swept time.Time
}

func newFloors(clock *timer.Service) *floors {
	return &floors{clock: clock, byID: make(map[string]floor)}
}

// raise refuses attempts up to the given one from now on. It reports false if
// too many requests are remembered.
func (f *floors) raise(id string, attempt uint32) bool {
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	old, ok := f.byID[id]
	if now.Sub(f.swept) >= floorTime {
		f.sweepLocked(now)
	}
	if !ok && len(f.byID) >= floorLimit {
		return false
	}
	f.byID[id] = floor{attempt: max(attempt, old.attempt), until: now.Add(floorTime)}
	return true
}

// refuses reports whether an attempt of a request is refused.
func (f *floors) refuses(id string, attempt uint32) bool {
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	at, ok := f.byID[id]
	return ok && now.Before(at.until) && attempt <= at.attempt
}

func (f *floors) sweepLocked(now time.Time) {
	f.swept = now
	for id, at := range f.byID {
		if !now.Before(at.until) {
			delete(f.byID, id)
		}
	}
}
