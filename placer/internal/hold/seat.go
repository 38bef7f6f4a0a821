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
	watch            *lease.Watch
	failures         int // consecutive calls without an answer
	handOverRenewals int // renewals since the hand-over began
}

// Target returns the endpoint as last listed.
func (s *Ownership) Target() Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.target
}

// Owned returns the epoch of the current or last ownership, and whether the
// endpoint is owned now.
func (s *Ownership) Owned() (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner.Epoch, s.state != closed
}

// Enter returns a Pass for a call under the given epoch. The error is a
// *NotOwnerError.
func (s *Ownership) Enter(epoch uint64) (*Pass, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == closed || s.paused || s.owner.Epoch != epoch || !s.termValidLocked() {
		return nil, &NotOwnerError{Endpoint: s.target.Name}
	}
	s.passes++
	return &Pass{seat: s, address: s.target.Address, owner: s.owner}, nil
}

// Control returns a Pass for a call that starts no task; such calls are allowed
// while the endpoint is paused. The error is a *NotOwnerError.
func (s *Ownership) Control() (*Pass, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == closed {
		return nil, &NotOwnerError{Endpoint: s.target.Name}
	}
	s.passes++
	return &Pass{seat: s, address: s.target.Address, owner: s.owner}, nil
}

// Ack acknowledges the ended task with this sequence number, once its result
// has been recorded; the endpoint may then delete the task.
func (s *Ownership) Ack(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.unacked, seq)
}

func (s *Ownership) valid(o point.Owner) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != closed && s.owner == o && s.termValidLocked()
}

// termValidLocked reports whether the current term allows starts. It is always
// true for an endpoint that rejects earlier owners itself.
func (s *Ownership) termValidLocked() bool {
	return !s.needsTerm || s.currentTerm.Valid(s.clock.Boot())
}

// ownedSince reports whether the endpoint was owned at any time after from.
func (s *Ownership) ownedSince(from time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != closed || (s.lastOwned > 0 && s.lastOwned > from)
}

// supersede makes the next step end the ownership if epoch is later than its
// own.
func (s *Ownership) supersede(epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.supersededBy = max(s.supersededBy, epoch)
}

// superseded reports whether another placer is known to have opened the
// endpoint under a later epoch.
func (s *Ownership) superseded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != closed && s.supersededBy > s.owner.Epoch
}

func (s *Ownership) endPass() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passes--
}

func (s *Ownership) noteStart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastStart = s.clock.Boot()
}

// leasesExpired reports whether all leases at the endpoint have expired,
// provided that no other placer renewed them.
func (s *Ownership) leasesExpired() bool {
	s.mu.Lock()
	s.watch.Touch(s.lastStart)
	s.mu.Unlock()
	return s.watch.Over(s.clock.Boot())
}

func (s *Ownership) hasPasses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.passes > 0
}

// setTarget updates the endpoint from the settings or the host list. While it
// is owned, an endpoint that has reported that it is leaving stays marked so.
func (s *Ownership) setTarget(t Target) {
	s.mu.Lock()
	old, owned := s.target, s.state != closed
	if owned {
		t.Leaving = t.Leaving || old.Leaving
	}
	s.target = t
	s.mu.Unlock()
	if owned && t.Leaving && !old.Leaving {
		s.sink.Leaving(t)
	}
}

// markLeaving marks the endpoint as leaving, after it refused a start for that
// reason.
func (s *Ownership) markLeaving() {
	s.mu.Lock()
	wasLeaving, owned := s.target.Leaving, s.state != closed
	s.target.Leaving = true
	t := s.target
	s.mu.Unlock()
	if owned && !wasLeaving {
		s.sink.Leaving(t)
	}
}

// Step runs the next action for the endpoint: acquire, renew, reopen or hand
// over. want is whether this placer should own the endpoint. Step returns how
// long to wait before the next Step.
func (s *Ownership) Step(ctx context.Context, want bool) time.Duration {
	if s.superseded() {
		s.epoch.Meet(s.supersededBy)
		s.close()
	}
	s.mu.Lock()
	current := s.state
	s.handingOver = !want
	s.mu.Unlock()
	switch {
	case current == closed && !want:
		return s.term / renewalsPerTerm
	case current == closed:
		return s.acquire(ctx)
	case current == unreachable:
		return s.reopen(ctx)
	case !want:
		return s.handOver(ctx)
	default:
		return s.renew(ctx)
	}
}
