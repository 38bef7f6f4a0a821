package audit

import (
	"context"
	"sync"
)

// backlogSize bounds the records that a Backlog keeps.
const backlogSize = 256

// Backlog writes records that must not hold up what they are about, and keeps
// those that the platform didn't take until Flush. It may be used
// concurrently.
type Backlog struct {
	log *Log

	mu   sync.Mutex // guards the fields below
	kept []Record   // the oldest first
	lost int        // records dropped because there were too many
}

// NewBacklog returns a Backlog on a trail.
func NewBacklog(l *Log) *Backlog { return &Backlog{log: l} }

// Write writes r, or keeps it and returns the platform's error. If too many
// are kept the oldest is dropped.
func (b *Backlog) Write(ctx context.Context, r Record) error {
	err := b.log.Write(ctx, r)
	if err == nil {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.kept) == backlogSize {
		b.kept = b.kept[1:]
		b.lost++
	}
	b.kept = append(b.kept, r)
	return err
}

// Flush writes the kept records, the oldest first, until the platform doesn't
// take one. It returns how many records were dropped since the last Flush that
// wrote all. A record may be written twice, which is no fault. It must not be
// called concurrently.
func (b *Backlog) Flush(ctx context.Context) (lost int, err error) {
	for {
		b.mu.Lock()
		if len(b.kept) == 0 {
			lost, b.lost = b.lost, 0
			b.mu.Unlock()
			return lost, nil
		}
		r := b.kept[0]
		b.mu.Unlock()
		if err := b.log.Write(ctx, r); err != nil {
			return 0, err
		}
		b.mu.Lock()
		if len(b.kept) > 0 && b.kept[0].ID == r.ID {
			b.kept = b.kept[1:]
		}
		b.mu.Unlock()
	}
}
