package hold

import (
	"context"
	"errors"
	"time"

	"github.com/balsamford/balsamford/coord/lease"
	"github.com/balsamford/balsamford/coord/point"
)

// renewalsPerTerm is how many times a term is renewed, so that the loss of one
// renewal doesn't end the ownership.
const renewalsPerTerm = 3

// acquire tries to open the endpoint under a new epoch.
func (o *Ownership) acquire(ctx context.Context) time.Duration {
	if !o.inspected || o.needsTerm {
		if err := o.inspect(ctx); err != nil {
			return o.openFailed(err)
		}
	}
	if o.openEpoch <= o.epoch.Seen() {
		o.openEpoch = o.epoch.Next()
	}
	t := o.Target()
	sent := o.clock.Boot()
	in := point.Open{Owner: point.Owner{Holder: o.holder, Epoch: o.openEpoch}, Term: o.term}
	ctx, cancel := context.WithTimeout(ctx, o.term/renewalsPerTerm)
	defer cancel()
	term := lease.NewTerm(sent, o.term)
	if o.needsTerm {
		var ok bool
		if term, ok = o.fence.Permit(ctx, t.Name, in.Owner); !ok {
			return o.term / renewalsPerTerm
		}
	}
	view, err := o.client.Open(ctx, t.Address, in)
	if err != nil {
		return o.openFailed(err)
	}
	o.applyOpen(in.Owner, term, &view)
	return 0
}

// inspect reads the endpoint's kind of fencing and its current epoch. An
// endpoint that doesn't reject earlier owners may only be opened within a term.
func (o *Ownership) inspect(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, o.term/renewalsPerTerm)
	defer cancel()
	view, err := o.client.View(ctx, o.Target().Address)
	if err != nil {
		return err
	}
	o.epoch.Observe(view.Owner.Epoch)
	o.inspected = true
	o.mu.Lock()
	defer o.mu.Unlock()
	o.needsTerm = view.Fence == point.FenceClock
	return nil
}

// openFailed handles a failed open. An open without an answer is retried with
// the same epoch, which the endpoint grants to the same holder again.
func (o *Ownership) openFailed(err error) time.Duration {
	var fenced *point.FencedError
	if !errors.As(err, &fenced) {
		o.failures++
		return o.backoff()
	}
	o.failures = 0
	if fenced.Owner.Holder != o.holder {
		o.closeIfOwned()
	}
	first := fenced.Owner.Epoch > o.epoch.Seen()
	o.epoch.Observe(fenced.Owner.Epoch)
	if !fenced.Held && first {
		return 0
	}
	return o.term / (2 * renewalsPerTerm)
}

// closeIfOwned ends the ownership if there is one.
func (o *Ownership) closeIfOwned() {
	if _, owned := o.Owned(); owned {
		o.close()
	}
}

func (o *Ownership) applyOpen(owner point.Owner, term lease.Term, view *point.View) {
	o.epoch.Observe(owner.Epoch)
	o.failures = 0
	o.lastSeq = view.Seq
	o.watch = lease.NewTracker(o.lease, o.clock.Boot())
	o.mu.Lock()
	o.state, o.owner, o.paused, o.renewNow = open, owner, false, true
	o.currentTerm = term
	o.target.Leaving = o.target.Leaving || view.Leaving
	o.unacked = make(map[uint64]struct{})
	for i := range view.Tasks {
		if view.Tasks[i].State.Ended() {
			o.unacked[view.Tasks[i].Seq] = struct{}{}
		}
	}
	t := o.target
	o.mu.Unlock()
	v := *view
	v.Owner = owner
	o.sink.Opened(t, &v)
}

// backoff returns a wait that grows with the number of consecutive failures.
func (o *Ownership) backoff() time.Duration {
	return min(o.term/(4*renewalsPerTerm)*time.Duration(o.failures), o.term/renewalsPerTerm)
}
