package jobs

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/wire"
)

// Verb is the verb of the call that makes another entry host hold or release a
// job.
const Verb = "job"

// writeInterval is the time between attempts to write the held jobs.
const writeInterval = time.Second

// PeerRequest is the request message of Verb.
type PeerRequest struct {
	Job  wire.Job `cbor:"job"`
	Drop bool     `cbor:"drop,omitempty"` // release the job, because its row has been written
}

// PeerReply is the reply message of Verb.
type PeerReply struct {
	Held bool `cbor:"held"`
}

// findHeld returns a job that this host holds and whether it holds it.
func (b *Book) findHeld(id string) (wire.Job, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.heldJobs[id]
	return w.job, ok
}

// hold stores a job in memory on this host and on one in another zone. It reports
// whether both have stored it.
func (b *Book) hold(ctx context.Context, job wire.Job) bool {
	return b.holdOnPeer(ctx, job) && b.holdHere(job)
}

// holdOnPeer sends a job to the hosts in other zones until one of them has stored
// it.
func (b *Book) holdOnPeer(ctx context.Context, job wire.Job) bool {
	for _, h := range b.ring.Elsewhere(job.Request.ID, b.self.Zone) {
		var reply PeerReply
		callCtx, cancel := b.withCallTimeout(ctx)
		err := b.caller.Call(callCtx, h.Link, Verb, PeerRequest{Job: job}, &reply)
		cancel()
		if err == nil && reply.Held {
			return true
		}
	}
	return false
}

// holdHere adds or updates a held job, unless the limit is reached. A job that is
// already marked as cancelled remains so.
func (b *Book) holdHere(job wire.Job) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, ok := b.heldJobs[job.Request.ID]
	if !ok && len(b.heldJobs) >= maxHeldJobs {
		return false
	}
	if !ok {
		old.since = b.clock.Boot()
	}
	job.Cancel = job.Cancel || old.job.Cancel
	b.heldJobs[job.Request.ID] = heldJob{job, old.since}
	b.heldGauge.Update(int64(len(b.heldJobs)))
	return true
}

// drop releases a held job after job has been written to its row. If the held job
// was cancelled in the meantime, it is kept until the row has the cancellation
// too.
func (b *Book) drop(job wire.Job) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.heldJobs[job.Request.ID].job.Cancel && !job.Cancel {
		return
	}
	delete(b.heldJobs, job.Request.ID)
	b.heldGauge.Update(int64(len(b.heldJobs)))
}

// Handle implements link.Handler for Verb.
func (b *Book) Handle(_ context.Context, s *link.Stream) error {
	var req PeerRequest
	if err := s.Recv(&req); err != nil {
		return err
	}
	return s.Send(b.handle(req))
}

func (b *Book) handle(req PeerRequest) PeerReply {
	if req.Drop {
		b.drop(req.Job)
		return PeerReply{}
	}
	return PeerReply{Held: b.holdHere(req.Job)}
}

// Cancel marks a held job as cancelled, on this host and on one in another zone. It
// reports whether both have done so. If not, the caller must change the row.
func (b *Book) Cancel(ctx context.Context, id string) bool {
	job, ok := b.markHeldCancelled(id)
	return ok && b.holdOnPeer(ctx, job)
}

// markHeldCancelled marks a job as cancelled if this host holds it.
func (b *Book) markHeldCancelled(id string) (wire.Job, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w, ok := b.heldJobs[id]
	if ok {
		w.job.Cancel = true
		b.heldJobs[id] = w
	}
	return w.job, ok
}

// Run writes the held jobs to the platform, with an attempt each writeInterval,
// until ctx ends. It calls written for each row that it creates. The error is
// always nil.
func (b *Book) Run(ctx context.Context, written func(wire.Job)) error {
	tick := make(chan struct{}, 1)
	sub := b.clock.Every(writeInterval, func() {
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

// Held returns the number of jobs that this host holds.
func (b *Book) Held() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.heldJobs)
}

// Write writes the held jobs to the platform and stops at the first failure. It
// calls written for each row that it creates.
func (b *Book) Write(ctx context.Context, written func(wire.Job)) {
	for _, w := range b.snapshot() {
		job := w.job
		if b.heldTooLong(&w) {
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
		b.releaseOnPeer(ctx, job)
		if found == nil {
			written(job)
		}
	}
}

// heldTooLong reports whether a job that is not idempotent has been held for so
// long that the other host may have written it and its rows may have been deleted
// since. Writing it again could run it twice.
func (b *Book) heldTooLong(w *heldJob) bool {
	return !w.job.Request.Idempotent && b.clock.Boot()-w.since >= b.history/2
}

// markCancel marks a job as cancelled. It reports whether that changed the job.
func markCancel(job *wire.Job) bool {
	if job.Cancel || job.Phase == wire.Ended {
		return false
	}
	job.Cancel = true
	return true
}

// releaseOnPeer makes the other host release a job whose row has been written. It
// stops at the first host in another zone that answers.
func (b *Book) releaseOnPeer(ctx context.Context, job wire.Job) {
	for _, h := range b.ring.Elsewhere(job.Request.ID, b.self.Zone) {
		var reply PeerReply
		callCtx, cancel := b.withCallTimeout(ctx)
		err := b.caller.Call(callCtx, h.Link, Verb, PeerRequest{Job: job, Drop: true}, &reply)
		cancel()
		if err == nil {
			return
		}
	}
}

func (b *Book) snapshot() []heldJob {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]heldJob, 0, len(b.heldJobs))
	for _, w := range b.heldJobs {
		out = append(out, w)
	}
	return out
}
