package record

import (
	"context"
	"sync"
)

const (
	// maxOutcomesPerCall is the maximum number of outcomes in one call.
	maxOutcomesPerCall = 64
	// maxOutboxNotes is the maximum number of outcomes queued for one slow holder;
	// more are dropped.
	maxOutboxNotes = 4096
)

// outbox queues outcomes for one other host. Outcomes that arrive while a call is
// in progress are sent together in the next call.
type outbox struct {
	mu      sync.Mutex // guards the fields below
	sending bool
	waiting []Note
}

// add queues a note and reports whether the caller must send the queued notes.
func (t *outbox) add(n Note) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.waiting) >= maxOutboxNotes {
		return false
	}
	t.waiting = append(t.waiting, n)
	if t.sending {
		return false
	}
	t.sending = true
	return true
}

// take returns the next notes to send, or nil if none are queued and the sender
// must stop.
func (t *outbox) take() []Note {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := min(len(t.waiting), maxOutcomesPerCall)
	if n == 0 {
		t.sending, t.waiting = false, nil
		return nil
	}
	group := t.waiting[:n:n]
	t.waiting = t.waiting[n:]
	return group
}

// sendOutcome sends an outcome to the id's other holder. A failed call isn't
// retried: the other holder then has the claim without an outcome.
func (k *Keeper) sendOutcome(n Note) {
	other := k.Other(n.ID)
	t := k.outboxes[other.Name]
	if t == nil || !t.add(n) {
		return
	}
	for group := t.take(); group != nil; group = t.take() {
		ctx, cancel := k.withCallTimeout(context.Background())
		var reply PeerReply
		_ = k.call(ctx, other, PeerRequest{Op: opEnd, Notes: group}, &reply)
		cancel()
	}
}
