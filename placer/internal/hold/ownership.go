package hold

import (
	"context"
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/lease"
	"github.com/balsamford/balsamford/coord/point"
)

// state is the state of the ownership of one endpoint.
type state int

const (
	closed      state = iota // not owned
	open                     // owned and reachable
	unreachable              // owned, but the last renewal or release got no answer
)

// Ownership manages this placer's ownership of one endpoint. Step must be called by
// one goroutine at a time; all other methods may be called concurrently.
type Ownership struct {
	holder  string
	term    time.Duration
	lease   time.Duration
	client  Client
	clock   Clock
	sink    Sink
	fence   Fencer
	witness Witness

	mu           sync.Mutex // guards the fields below
	target       Target
	state        state
	owner        point.Owner
	currentTerm  lease.Term
	needsTerm    bool // the endpoint doesn't reject earlier owners itself
	paused       bool
	handingOver  bool // this placer should not own the endpoint any more
	passes       int
	unacked      map[uint64]struct{} // ended tasks without an Ack yet, by Seq
	renewNow     bool                // the next renewal doesn't wait for events
	lastStart    time.Duration       // when the endpoint last answered a start
	supersededBy uint64              // latest epoch known of another owner
	lastOwned    time.Duration       // when the last ownership ended; zero if never

	// The fields below are used by Step only.
	epoch            lease.Epoch
	inspected        bool   // needsTerm has been read from the endpoint
	openEpoch        uint64 // epoch of the last open; sent again after a lost answer
	lastSeq          uint64 // sequence number of the endpoint's last reported event
	watch            *lease.Tracker
	failures         int // consecutive calls without an answer
	handOverRenewals int // renewals since the hand-over began
}

// Target returns the endpoint as last listed.
func (o *Ownership) Target() Target {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.target
}

// Owned returns the epoch of the current or last ownership, and whether the
// endpoint is owned now.
func (o *Ownership) Owned() (uint64, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.owner.Epoch, o.state != closed
}

// Enter returns a Pass for a call under the given epoch. The error is a
// *NotOwnerError.
func (o *Ownership) Enter(epoch uint64) (*Pass, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.state == closed || o.paused || o.owner.Epoch != epoch || !o.termValidLocked() {
		return nil, &NotOwnerError{Endpoint: o.target.Name}
	}
	o.passes++
	return &Pass{ownership: o, address: o.target.Address, owner: o.owner}, nil
}

// Control returns a Pass for a call that starts no task; such calls are allowed
// while the endpoint is paused. The error is a *NotOwnerError.
func (o *Ownership) Control() (*Pass, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.state == closed {
		return nil, &NotOwnerError{Endpoint: o.target.Name}
	}
	o.passes++
	return &Pass{ownership: o, address: o.target.Address, owner: o.owner}, nil
}

// Ack acknowledges the ended task with this sequence number, once its result
// has been recorded; the endpoint may then delete the task.
func (o *Ownership) Ack(seq uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.unacked, seq)
}

func (o *Ownership) valid(owner point.Owner) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state != closed && o.owner == owner && o.termValidLocked()
}

// termValidLocked reports whether the current term allows starts. It is always
// true for an endpoint that rejects earlier owners itself.
func (o *Ownership) termValidLocked() bool {
	return !o.needsTerm || o.currentTerm.Valid(o.clock.Boot())
}

// ownedSince reports whether the endpoint was owned at any time after from.
func (o *Ownership) ownedSince(from time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state != closed || (o.lastOwned > 0 && o.lastOwned > from)
}

// supersede makes the next step end the ownership if epoch is later than its
// own.
func (o *Ownership) supersede(epoch uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.supersededBy = max(o.supersededBy, epoch)
}

// superseded reports whether another placer is known to have opened the
// endpoint under a later epoch.
func (o *Ownership) superseded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state != closed && o.supersededBy > o.owner.Epoch
}

func (o *Ownership) endPass() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.passes--
}

func (o *Ownership) noteStart() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lastStart = o.clock.Boot()
}

// leasesExpired reports whether all leases at the endpoint have expired,
// provided that no other placer renewed them.
func (o *Ownership) leasesExpired() bool {
	o.mu.Lock()
	o.watch.Touch(o.lastStart)
	o.mu.Unlock()
	return o.watch.Over(o.clock.Boot())
}

func (o *Ownership) hasPasses() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.passes > 0
}

// setTarget updates the endpoint from the settings or the host list. While it
// is owned, an endpoint that has reported that it is leaving stays marked so.
func (o *Ownership) setTarget(t Target) {
	o.mu.Lock()
	old, owned := o.target, o.state != closed
	if owned {
		t.Leaving = t.Leaving || old.Leaving
	}
	o.target = t
	o.mu.Unlock()
	if owned && t.Leaving && !old.Leaving {
		o.sink.Leaving(t)
	}
}

// markLeaving marks the endpoint as leaving, after it refused a start for that
// reason.
func (o *Ownership) markLeaving() {
	o.mu.Lock()
	wasLeaving, owned := o.target.Leaving, o.state != closed
	o.target.Leaving = true
	t := o.target
	o.mu.Unlock()
	if owned && !wasLeaving {
		o.sink.Leaving(t)
	}
}

// Step runs the next action for the endpoint: acquire, renew, reopen or hand
// over. want is whether this placer should own the endpoint. Step returns how
// long to wait before the next Step.
func (o *Ownership) Step(ctx context.Context, want bool) time.Duration {
	if o.superseded() {
		o.epoch.Observe(o.supersededBy)
		o.close()
	}
	o.mu.Lock()
	current := o.state
	o.handingOver = !want
	o.mu.Unlock()
	switch {
	case current == closed && !want:
		return o.term / renewalsPerTerm
	case current == closed:
		return o.acquire(ctx)
	case current == unreachable:
		return o.reopen(ctx)
	case !want:
		return o.handOver(ctx)
	default:
		return o.renew(ctx)
	}
}
