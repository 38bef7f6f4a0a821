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
	w, ok := b.pending[id]
	return w.job, ok
}

// hold holds a job here and on a host in another zone.
func (b *Book) hold(ctx context.Context, job wire.Job) bool {
	return b.holdThere(ctx, job) && b.keep(job)
}

// holdThere asks a host in another zone to hold a job.
func (b *Book) holdThere(ctx context.Context, job wire.Job) bool {
	for _, h := range b.ring.Elsewhere(job.Request.ID, b.self.Zone) {
		var told Told
		callCtx, cancel := b.within(ctx)
		err := b.caller.Call(callCtx, h.Link, Verb, Ask{Job: job}, &told)
		cancel()
		if err == nil && told.Held {
			return true
		}
	}
	return false
}

// keep adds a job to those that wait for the platform. A cancellation that is
// known already stays.
func (b *Book) keep(job wire.Job) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, ok := b.pending[job.Request.ID]
	if !ok && len(b.pending) >= heldLimit {
		return false
	}
	if !ok {
		old.since = b.clock.Boot()
	}
	job.Cancel = job.Cancel || old.job.Cancel
	b.pending[job.Request.ID] = waiting{job, old.since}
	b.held.Update(int64(len(b.pending)))
	return true
}

// drop holds a job no longer whose row is as job says. One that was cancelled
// here in the meantime is held until its row says so.
func (b *Book) drop(job wire.Job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pending[job.Request.ID].job.Cancel && !job.Cancel {
		return
	}
	delete(b.pending, job.Request.ID)
	b.held.Update(int64(len(b.pending)))
}

// Handle implements link.Handler for Verb.
func (b *Book) Handle(_ context.Context, s *link.Stream) error {
	var ask Ask
	if err := s.Recv(&ask); err != nil {
		return err
	}
	return s.Send(b.answer(ask))
}

func (b *Book) answer(ask Ask) Told {
	if ask.Drop {
		b.drop(ask.Job)
		return Told{}
	}
	return Told{Held: b.keep(ask.Job)}
}

// Cancel marks a held job as cancelled, here and on a host in another zone. It
// reports whether both hold it so. Otherwise the row has to be changed.
func (b *Book) Cancel(ctx context.Context, id string) bool {
	job, ok := b.mark(id)
	return ok && b.holdThere(ctx, job)
}

// mark marks a job as cancelled if it is held here.
func (b *Book) mark(id string) (wire.Job, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.pending[id]
	if ok {
		w.job.Cancel = true
		b.pending[id] = w
	}
	return w.job, ok
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
	for _, w := range b.snapshot() {
		job := w.job
		if b.outdated(&w) {
			b.dropped.Inc(1)
			b.drop(job)
			continue
		}
		found, err := b.create(ctx, job)
		if err != nil {
			return
		}
		if found != nil && found.Phase != wire.Ended && job.Cancel {
			if err := b.Change(ctx, job.Request.ID, markCancel); err != nil {
				return
			}
		}
		b.drop(job)
		b.release(ctx, job)
		if found == nil {
			written(job)
		}
	}
}

// outdated reports whether a job that must not run twice was held for so long
// that the other host may have written it and its rows been deleted since.
func (b *Book) outdated(w *waiting) bool {
	return !w.job.Request.Idempotent && b.clock.Boot()-w.since >= b.history/2
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

func (b *Book) snapshot() []waiting {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]waiting, 0, len(b.pending))
	for _, w := range b.pending {
		out = append(out, w)
	}
	return out
}
