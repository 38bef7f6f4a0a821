package record

import (
	"context"
	"errors"
	"sync"

	"github.com/balsamford/balsamford/coord/store"
)

// batchSize is how many writes go into one transaction, at most.
const batchSize = 64

// batch writes rows in groups: while one transaction is under way the next
// ones gather. The caller whose write comes first commits for the others.
type batch struct {
	platform Platform

	mu      sync.Mutex // guards the fields below
	busy    bool
	waiting []*write
}

// write is one row that waits to be committed.
type write struct {
	op   store.Op
	done chan error    // gets the result
	lead chan struct{} // closed when this writer has to commit the next group
}

func newBatch(p Platform) *batch { return &batch{platform: p} }

// commit writes one row. The error is what Platform.Commit returns for it.
func (b *batch) commit(ctx context.Context, op store.Op) error {
	w := &write{op: op, done: make(chan error, 1), lead: make(chan struct{})}
	if b.join(w) {
		b.run(ctx)
		return <-w.done
	}
	select {
	case err := <-w.done:
		return err
	case <-w.lead:
		b.run(ctx)
		return <-w.done
	}
}

// join queues a write and reports whether its writer has to commit.
func (b *batch) join(w *write) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, w)
	if b.busy {
		return false
	}
	b.busy = true
	return true
}

// run commits one group and hands the lead on.
func (b *batch) run(ctx context.Context) {
	b.mu.Lock()
	n := min(len(b.waiting), batchSize)
	group := b.waiting[:n:n]
	b.waiting = b.waiting[n:]
	b.mu.Unlock()
	b.write(ctx, group)
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.busy = false
		return
	}
	close(b.waiting[0].lead)
}

// write commits a group as one transaction, and one by one if a condition in
// it fails.
func (b *batch) write(ctx context.Context, group []*write) {
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
