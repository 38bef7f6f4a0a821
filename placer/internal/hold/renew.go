package hold

import (
	"context"
	"errors"
	"time"

	"github.com/balsamford/balsamford/coord/lease"
	"github.com/balsamford/balsamford/coord/point"
)

const (
	// maxHandOverRenewals is how many renewals a hand-over waits for calls in
	// progress.
	maxHandOverRenewals = 10
	// handOverRenewalsPerTerm spaces these renewals evenly over a term.
	handOverRenewalsPerTerm = 30
)

// renew renews the term of the endpoint and the leases of its tasks. It is a
// long poll: the endpoint answers after a part of the term, or as soon as it
// has an event to report.
func (o *Ownership) renew(ctx context.Context) time.Duration {
	t, in := o.renewRequest()
	sent := o.clock.Boot()
	if !o.renewTerm(ctx, t, in.Owner) {
		return 0
	}
	o.watch.Sent()
	ctx, cancel := context.WithTimeout(ctx, in.Wait+o.term/renewalsPerTerm)
	defer cancel()
	report, err := o.client.Renew(ctx, t.Address, in)
	if err != nil {
		return o.renewFailed(err)
	}
	o.watch.Answered(o.clock.Boot())
	o.failures = 0
	o.applyReport(sent, &report)
	return o.renewDelay(sent, in.Wait)
}

// renewTerm renews the term of an endpoint without fencing. It returns false
// if another placer owns the endpoint now.
func (o *Ownership) renewTerm(ctx context.Context, t Target, owner point.Owner) bool {
	if !o.needsTerm {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, o.term/renewalsPerTerm)
	defer cancel()
	term, err := o.fence.Renew(ctx, t.Name, owner)
	var taken *TakenError
	if errors.As(err, &taken) {
		o.close()
		return false
	}
	o.mu.Lock()
	if err == nil {
		o.currentTerm = term
	}
	valid := o.termValidLocked()
	o.mu.Unlock()
	if !valid {
		o.pause()
	}
	return true
}

// renewDelay returns the wait before the next renewal. It enforces a minimum
// interval, because an endpoint with many events answers at once.
func (o *Ownership) renewDelay(sent, wait time.Duration) time.Duration {
	minInterval := o.term / (10 * renewalsPerTerm)
	if spent := o.clock.Boot() - sent; wait > 0 && spent < minInterval {
		return minInterval - spent
	}
	return 0
}

func (o *Ownership) renewRequest() (Target, point.Renew) {
	o.mu.Lock()
	defer o.mu.Unlock()
	in := point.Renew{Owner: o.owner, Term: o.term, Lease: o.lease, Since: o.lastSeq, Ack: o.lastSeq, Wait: o.term / renewalsPerTerm}
	if o.renewNow || o.handingOver {
		in.Wait, o.renewNow = 0, false
	}
	for seq := range o.unacked {
		in.Ack = min(in.Ack, seq-1)
	}
	return o.target, in
}

func (o *Ownership) applyReport(sent time.Duration, report *point.Report) {
	o.lastSeq = max(o.lastSeq, report.Seq)
	o.mu.Lock()
	if !o.needsTerm {
		o.currentTerm = lease.NewTerm(sent, o.term)
	}
	o.state = open
	o.target.Leaving = o.target.Leaving || report.Leaving
	for i := range report.Tasks {
		if report.Tasks[i].State.Ended() {
			o.unacked[report.Tasks[i].Seq] = struct{}{}
		}
	}
	t := o.target
	resume := o.paused && !o.handingOver && o.termValidLocked()
	if resume {
		o.paused = false
	}
	o.mu.Unlock()
	o.sink.Reported(t, report)
	if resume {
		o.sink.Resumed(t)
	}
}

// renewFailed handles a renewal that returned an error.
func (o *Ownership) renewFailed(err error) time.Duration {
	var fenced *point.FencedError
	if errors.As(err, &fenced) {
		o.closeFenced(fenced)
		return 0
	}
	var lost *point.LostError
	if errors.As(err, &lost) && lost.Unsent {
		o.watch.Unsent()
	}
	o.failures++
	o.mu.Lock()
	o.state = unreachable
	o.mu.Unlock()
	o.pause()
	return o.backoff()
}

// closeFenced ends the ownership of an endpoint that another placer owns.
func (o *Ownership) closeFenced(e *point.FencedError) {
	o.epoch.Observe(e.Owner.Epoch)
	o.close()
}

// pause stops new starts on the endpoint.
func (o *Ownership) pause() {
	o.mu.Lock()
	wasPaused := o.paused
	o.paused = true
	t := o.target
	o.mu.Unlock()
	if !wasPaused {
		o.sink.Paused(t)
	}
}

func (o *Ownership) close() {
	o.mu.Lock()
	o.state, o.unacked, o.lastOwned = closed, nil, o.clock.Boot()
	t := o.target
	o.mu.Unlock()
	o.sink.Closed(t)
}

// reopen tries to open an endpoint again after a renewal without an answer. It
// gives up once all leases there have expired and no other placer can have
// renewed them. No lease is renewed until the endpoint has been opened, and the
// new epoch makes the endpoint reject delayed messages of the old one.
func (o *Ownership) reopen(ctx context.Context) time.Duration {
	if o.leasesExpired() && o.witness.Abandoned(ctx, o.Target().Name) {
		epoch, _ := o.Owned()
		o.sink.Lapsed(o.Target(), epoch)
		o.close()
		return o.backoff()
	}
	return o.acquire(ctx)
}

// handOver releases the endpoint: it stops new starts, waits for the calls in
// progress and sends the release. Tasks continue under their leases, which the
// next owner renews. The wait is bounded: a call that takes longer has reached
// the endpoint by then, or the endpoint rejects it.
func (o *Ownership) handOver(ctx context.Context) time.Duration {
	o.pause()
	if o.handOverRenewals++; o.hasPasses() && o.handOverRenewals < maxHandOverRenewals {
		return max(o.renew(ctx), o.term/handOverRenewalsPerTerm)
	}
	o.handOverRenewals = 0
	o.mu.Lock()
	t, owner := o.target, o.owner
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, o.term/renewalsPerTerm)
	defer cancel()
	if err := o.client.Release(ctx, t.Address, owner); err != nil {
		var fenced *point.FencedError
		if !errors.As(err, &fenced) {
			o.failures++
			o.mu.Lock()
			o.state = unreachable
			o.mu.Unlock()
			return o.backoff()
		}
	}
	if o.needsTerm {
		o.fence.Release(ctx, t.Name, owner)
	}
	o.close()
	return 0
}
