package serve

import (
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/timer"
)

const (
	// fenceTime is how long earlier attempts of a request are rejected after a
	// settle call. A delayed message can't arrive after its connection has ended.
	fenceTime = time.Minute
	// maxFences limits the number of requests with a fence.
	maxFences = 4096
)

// attemptFence rejects the attempts of a request up to and including attempt.
type attemptFence struct {
	attempt uint32
	until   time.Time
}

// attemptFences holds the fences of quick requests that were settled. Their
// entries assume that no earlier attempt runs, so a message of such an attempt
// that arrives late must not start it. All methods may be called concurrently.
type attemptFences struct {
	clock *timer.Service

	mu        sync.Mutex // guards the fields below
	byID      map[string]attemptFence
	lastSweep time.Time
}

func newAttemptFences(clock *timer.Service) *attemptFences {
	return &attemptFences{clock: clock, byID: make(map[string]attemptFence)}
}

// raise rejects attempts of a request up to the given one from now on. It
// returns false, and does nothing, if there are too many fences.
func (f *attemptFences) raise(id string, attempt uint32) bool {
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	current, ok := f.byID[id]
	if now.Sub(f.lastSweep) >= fenceTime {
		f.sweepLocked(now)
	}
	if !ok && len(f.byID) >= maxFences {
		return false
	}
	f.byID[id] = attemptFence{attempt: max(attempt, current.attempt), until: now.Add(fenceTime)}
	return true
}

// rejects reports whether an attempt of a request is rejected.
func (f *attemptFences) rejects(id string, attempt uint32) bool {
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	fence, ok := f.byID[id]
	return ok && now.Before(fence.until) && attempt <= fence.attempt
}

func (f *attemptFences) sweepLocked(now time.Time) {
	f.lastSweep = now
	for id, fence := range f.byID {
		if !now.Before(fence.until) {
			delete(f.byID, id)
		}
	}
}
