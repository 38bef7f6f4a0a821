package record

import (
	"context"
	"errors"
	"sync"

	"github.com/balsamford/balsamford/coord/store"
)

// maxBatchOps is the maximum number of writes in one transaction.
const maxBatchOps = 64

// batcher implements group commit. Writes that arrive while a transaction is in
// progress are queued, and the writer of the first queued one commits the next
// group.
type batcher struct {
	platform Platform

	mu         sync.Mutex // guards the fields below
	committing bool       // a writer is committing a group or is about to
	waiting    []*pendingWrite
}

// pendingWrite is a row that is queued for commit.
type pendingWrite struct {
	op   store.Op
	done chan error    // receives the result
	lead chan struct{} // closed when this writer must commit the next group
}

func newBatcher(p Platform) *batcher { return &batcher{platform: p} }

// commit writes one row and returns the error of Platform.Commit for it.
func (b *batcher) commit(ctx context.Context, op store.Op) error {
	w := &pendingWrite{op: op, done: make(chan error, 1), lead: make(chan struct{})}
	if b.enqueue(w) {
		b.commitGroup(ctx)
		return <-w.done
	}
	select {
	case err := <-w.done:
		return err
	case <-w.lead:
		b.commitGroup(ctx)
		return <-w.done
	}
}

// enqueue queues a write and reports whether its writer must commit the group.
func (b *batcher) enqueue(w *pendingWrite) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, w)
	if b.committing {
		return false
	}
	b.committing = true
	return true
}

// commitGroup commits one group and makes the next queued writer the leader.
func (b *batcher) commitGroup(ctx context.Context) {
	b.mu.Lock()
	n := min(len(b.waiting), maxBatchOps)
	group := b.waiting[:n:n]
	b.waiting = b.waiting[n:]
	b.mu.Unlock()
	b.writeGroup(ctx, group)
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.committing = false
		return
	}
	close(b.waiting[0].lead)
}

// writeGroup commits a group as one transaction. On a conflict it commits each
// write separately, so that a conflict fails only the write that caused it.
func (b *batcher) writeGroup(ctx context.Context, group []*pendingWrite) {
	ops := make([]store.Op, 0, len(group))
	for _, w := range group {
		ops = append(ops, w.op)
	}
	err := b.platform.Commit(ctx, ops)
	var conflict *store.ConflictError
	if len(group) == 1 || !errors.As(err, &conflict) {
		for _, w := range group {
			w.done <- err
		}
		return
	}
	for _, w := range group {
		w.done <- b.platform.Commit(ctx, []store.Op{w.op})
	}
}
