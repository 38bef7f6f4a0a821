package record

import (
	"context"
	"sync"
)

const (
	// tellSize is how many outcomes go into one call, at most.
	tellSize = 64
	// tellBound is how many outcomes wait for a holder that is slow; more are
	// dropped.
	tellBound = 4096
)

// tells gathers the outcomes for one other holder: while one call is under
// way the next outcomes wait and go together.
type tells struct {
	mu      sync.Mutex // guards the fields below
	busy    bool
	waiting []Note
}

// add queues a note and reports whether the caller has to send.
func (t *tells) add(n Note) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) >= tellBound {
		return false
	}
	t.waiting = append(t.waiting, n)
	if t.busy {
		return false
	}
	t.busy = true
	return true
}

// take returns the next notes to be sent; there are none left when it
// returns nil, and the sender is done.
func (t *tells) take() []Note {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := min(len(t.waiting), tellSize)
	if n == 0 {
		t.busy, t.waiting = false, nil
		return nil
	}
	group := t.waiting[:n:n]
	t.waiting = t.waiting[n:]
	return group
}

// tellOther passes an outcome on to the id's other holder. A call that fails
// isn't repeated: the other holder then knows only of the claim.
func (k *Keeper) tellOther(n Note) {
	other := k.Other(n.ID)
	t := k.tells[other.Name]
	if t == nil || !t.add(n) {
		return
	}
	for group := t.take(); group != nil; group = t.take() {
		ctx, cancel := k.within(context.Background())
		var told Told
		_ = k.call(ctx, other, Ask{Op: opEnd, Notes: group}, &told)
		cancel()
	}
}
