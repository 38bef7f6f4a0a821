package audit

import (
	"context"
	"sync"
)

// maxPending is the maximum number of records that a Backlog keeps.
const maxPending = 256

// Backlog writes audit records of actions that must not fail when the platform
// is unavailable. It keeps records that couldn't be written, up to 256, until
// Flush. Write may be called concurrently.
type Backlog struct {
	log *Log

	mu      sync.Mutex // guards the fields below
	pending []Record   // oldest first
	dropped int        // records dropped since the last complete Flush
}

// NewBacklog returns a Backlog that writes to l.
func NewBacklog(l *Log) *Backlog { return &Backlog{log: l} }

// Write writes r. If that fails it keeps r for Flush and returns the platform's
// error. If too many records are kept the oldest is dropped.
func (b *Backlog) Write(ctx context.Context, r Record) error {
	err := b.log.Write(ctx, r)
	if err == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.pending) == maxPending {
		b.pending = b.pending[1:]
		b.dropped++
	}
	b.pending = append(b.pending, r)
	return err
}

// Flush writes the kept records, oldest first, and stops at the first error. If
// all are written it returns the number of records dropped since the last Flush
// that succeeded. Writes are idempotent, so that a record whose write has an
// unknown outcome is written again. Flush must not be called concurrently with
// itself.
func (b *Backlog) Flush(ctx context.Context) (lost int, err error) {
	for {
		b.mu.Lock()
		if len(b.pending) == 0 {
			lost, b.dropped = b.dropped, 0
			b.mu.Unlock()
			return lost, nil
		}
		r := b.pending[0]
		b.mu.Unlock()
		if err := b.log.Write(ctx, r); err != nil {
			return 0, err
		}
		b.mu.Lock()
		if len(b.pending) > 0 && b.pending[0].ID == r.ID {
			b.pending = b.pending[1:]
		}
		b.mu.Unlock()
	}
}
