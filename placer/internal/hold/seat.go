package hold

import (
	"context"
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/lease"
	"github.com/balsamford/balsamford/coord/point"
)

// state is where the ownership of one endpoint stands.
type state int

const (
	closed state = iota // not owned
	open                // owned and reachable
	silent              // owned, but a renewal went unanswered
)

// Seat is the ownership of one endpoint. Step is called by one goroutine at a
// time, all else may be called concurrently.
type Seat struct {
	holder  string
	term    time.Duration
	lease   time.Duration
	client  Client
	clock   Clock
	sink    Sink
	fence   Fencer
	witness Witness

	mu      sync.Mutex // guards the fields below
	target  Target
	state   state
	owner   point.Owner
	current lease.Term
	guarded bool // the endpoint doesn't refuse old owners by itself
	paused  bool
	yields  bool // about to be handed over
	passes  int
	pending map[uint64]struct{} // ended tasks that nobody has recorded yet, by Seq
	hasty   bool                // renew at once, without waiting for events
	touched time.Duration       // when a start was last answered
	later   uint64              // epoch under which another placer opened it
	held    time.Duration       // when it was last owned; zero if never

	// Step's own.
	epoch   lease.Epoch
	looked  bool   // guarded is known
	asked   uint64 // epoch of an open that got no answer
	since   uint64
	watch   *lease.Tracker
	failed  int // calls in a row without an answer
	yielded int // renewals during a hand-over
}

// Target returns the endpoint.
func (s *Seat) Target() Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.target
}

// Owned reports whether the endpoint is owned, and under which epoch.
func (s *Seat) Owned() (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.owner.Epoch, s.state != closed
}

// Enter returns a Pass for a call under the given epoch.
func (s *Seat) Enter(epoch uint64) (*Pass, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == closed || s.paused || s.owner.Epoch != epoch || !s.inTermLocked() {
		return nil, &NotOwnerError{Endpoint: s.target.Name}
	}
	s.passes++
	return &Pass{seat: s, address: s.target.Address, owner: s.owner}, nil
}

// Control returns a Pass for a call that starts nothing, which is allowed
// during a pause too.
func (s *Seat) Control() (*Pass, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.state == closed {
		return nil, &NotOwnerError{Endpoint: s.target.Name}
	}
	s.passes++
	return &Pass{seat: s, address: s.target.Address, owner: s.owner}, nil
}

// Ack says that the ended task with this Seq has been recorded, so that the
// endpoint may forget it.
func (s *Seat) Ack(seq uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, seq)
}

func (s *Seat) valid(o point.Owner) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != closed && s.owner == o && s.inTermLocked()
}

// inTermLocked reports whether starts are allowed by the term. An endpoint
// that refuses old owners needs no clock.
func (s *Seat) inTermLocked() bool {
	return !s.guarded || s.current.Valid(s.clock.Boot())
}

// heldSince reports whether the endpoint was owned at any time after from.
func (s *Seat) heldSince(from time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != closed || (s.held > 0 && s.held > from)
}

// supersede has the seat closed at its next step if the epoch is later than
// its own.
func (s *Seat) supersede(epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.later = max(s.later, epoch)
}

// overtaken reports whether another placer is known to have opened the
// endpoint since.
func (s *Seat) overtaken() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state != closed && s.later > s.owner.Epoch
}

func (s *Seat) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.passes--
}

func (s *Seat) touch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.touched = s.clock.Boot()
}

// over reports whether all leases at the endpoint have run out unless someone
// else renewed them.
func (s *Seat) over() bool {
	s.mu.Lock()
	s.watch.Touch(s.touched)
	s.mu.Unlock()
	return s.watch.Over(s.clock.Boot())
}

func (s *Seat) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.passes > 0
}

// list takes what settings or the host list say of the endpoint. An endpoint
// that said itself that it is leaving stays so until it is opened again.
func (s *Seat) list(t Target) {
	s.mu.Lock()
	old, owned := s.target, s.state != closed
	if owned {
		t.Leaving = t.Leaving || old.Leaving
	}
	s.target = t
	s.mu.Unlock()
	if owned && t.Leaving && !old.Leaving {
		s.sink.Left(t)
	}
}

// markLeaving notes that the endpoint refused a start because it is leaving.
func (s *Seat) markLeaving() {
	s.mu.Lock()
	was, owned := s.target.Leaving, s.state != closed
	s.target.Leaving = true
	t := s.target
	s.mu.Unlock()
	if owned && !was {
		s.sink.Left(t)
	}
}

// Step does what is next for the endpoint, with at most one call to it, and
// returns how long to wait before the next Step. want says whether this placer
// should own it.
func (s *Seat) Step(ctx context.Context, want bool) time.Duration {
	if s.overtaken() {
		s.epoch.Observe(s.later)
		s.close()
	}
	s.mu.Lock()
	at := s.state
	s.yields = !want
	s.mu.Unlock()
	switch {
	case at == closed && !want:
		return s.term / periods
	case at == closed:
		return s.take(ctx)
	case at == silent:
		return s.reopen(ctx)
	case !want:
		return s.handOver(ctx)
	default:
		return s.renew(ctx)
	}
}
