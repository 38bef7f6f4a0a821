package jobs

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/wire"
)

// Verb is the name of the call that asks another entry host to hold a job.
const Verb = "job"

// writePeriod is how often held jobs are tried to be written.
const writePeriod = time.Second

// Ask is a call of Verb.
type Ask struct {
	Job  wire.Job `cbor:"job"`
	Drop bool     `cbor:"drop,omitempty"` // the row is written, hold it no longer
}

// Told answers an Ask.
type Told struct {
	Held bool `cbor:"held"`
}

// find returns a job that this host holds.
func (b *Book) find(id string) (wire.Job, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	job, ok := b.pending[id]
	return job, ok
}

// hold holds a job here and on a host in another zone.
func (b *Book) hold(ctx context.Context, job wire.Job) bool {
	for _, h := range b.ring.Elsewhere(job.Request.ID, b.self.Zone) {
		var told Told
		callCtx, cancel := b.within(ctx)
		err := b.caller.Call(callCtx, h.Link, Verb, Ask{Job: job}, &told)
		cancel()
		if err == nil && told.Held {
			return b.keep(job)
		}
	}
	return false
}

// keep adds a job to those that wait for the platform.
func (b *Book) keep(job wire.Job) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.pending[job.Request.ID]; !ok && len(b.pending) >= heldLimit {
		return false
	}
	b.pending[job.Request.ID] = job
	b.held.Update(int64(len(b.pending)))
	return true
}

func (b *Book) drop(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.pending, id)
	b.held.Update(int64(len(b.pending)))
}

// Handle implements link.Handler for Verb.
func (b *Book) Handle(_ context.Context, s *link.Stream) error {
	var ask Ask
	if err := s.Recv(&ask); err != nil {
		return err
	}
	if ask.Drop {
		b.drop(ask.Job.Request.ID)
		return s.Send(Told{})
	}
	return s.Send(Told{Held: b.keep(ask.Job)})
}

// Cancel marks a held job as cancelled; it reports whether it is held here.
func (b *Book) Cancel(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	job, ok := b.pending[id]
	if ok {
		job.Cancel = true
		b.pending[id] = job
	}
	return ok
}

// Run writes held jobs as soon as the platform takes them, until ctx ends.
// It calls written for each.
func (b *Book) Run(ctx context.Context, written func(wire.Job)) error {
	tick := make(chan struct{}, 1)
	sub := b.clock.Every(writePeriod, func() {
		select {
		case tick <- struct{}{}:
		default:
		}
	})
	defer sub.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick:
			b.Write(ctx, written)
		}
	}
}

// Held returns the number of jobs that wait for the platform.
func (b *Book) Held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.pending)
}

// Write tries to write all held jobs and stops at the first failure.
func (b *Book) Write(ctx context.Context, written func(wire.Job)) {
	for _, job := range b.snapshot() {
		found, err := b.create(ctx, job)
		if err != nil {
			return
		}
		id := job.Request.ID
		if found != nil && job.Cancel {
			if err := b.Change(ctx, id, markCancel); err != nil {
				return
			}
		}
		b.drop(id)
		b.release(ctx, job)
		if found == nil {
			written(job)
		}
	}
}

// markCancel sets a job's wish to end.
func markCancel(job *wire.Job) bool {
	if job.Cancel || job.Phase == wire.Ended {
		return false
	}
	job.Cancel = true
	return true
}

// release tells the other holder that the row is written.
func (b *Book) release(ctx context.Context, job wire.Job) {
	for _, h := range b.ring.Elsewhere(job.Request.ID, b.self.Zone) {
		var told Told
		callCtx, cancel := b.within(ctx)
		err := b.caller.Call(callCtx, h.Link, Verb, Ask{Job: job, Drop: true}, &told)
		cancel()
		if err == nil {
			return
		}
	}
}

func (b *Book) snapshot() []wire.Job {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]wire.Job, 0, len(b.pending))
	for _, job := range b.pending {
		out = append(out, job)
	}
	return out
}
