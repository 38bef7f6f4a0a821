package hold

import (
	"context"
	"errors"
	"time"

	"github.com/balsamford/balsamford/coord/lease"
	"github.com/balsamford/balsamford/coord/point"
)

const (
	// maxYields bounds the renewals during which a hand-over waits for calls.
	maxYields = 10
	// yieldParts is how many of these renewals fit into a term.
	yieldParts = 30
)

// renew keeps the endpoint and the leases of its tasks. The call stays with
// the endpoint for a part of the term unless something happens there.
func (s *Seat) renew(ctx context.Context) time.Duration {
	t, in := s.renewal()
	sent := s.clock.Boot()
	if !s.renewTerm(ctx, t, in.Owner) {
		return 0
	}
	s.watch.Sent()
	ctx, cancel := context.WithTimeout(ctx, in.Wait+s.term/periods)
	defer cancel()
	report, err := s.client.Renew(ctx, t.Address, in)
	if err != nil {
		return s.missed(err)
	}
	s.watch.Answered(s.clock.Boot())
	s.failed = 0
	s.reported(sent, &report)
	return s.rest(sent, in.Wait)
}

// renewTerm renews the term of an endpoint that doesn't fence. It reports
// false if the endpoint is another's now.
func (s *Seat) renewTerm(ctx context.Context, t Target, o point.Owner) bool {
	if !s.guarded {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, s.term/periods)
	defer cancel()
	term, err := s.fence.Renew(ctx, t.Name, o)
	var taken *TakenError
	if errors.As(err, &taken) {
		s.close()
		return false
	}
	s.mu.Lock()
	if err == nil {
		s.current = term
	}
	valid := s.inTermLocked()
	s.mu.Unlock()
	if !valid {
		s.pause()
	}
	return true
}

// rest spaces renewals that were answered without waiting, so that an endpoint
// with many events isn't asked without pause.
func (s *Seat) rest(sent, wait time.Duration) time.Duration {
	least := s.term / (10 * periods)
	if spent := s.clock.Boot() - sent; wait > 0 && spent < least {
		return least - spent
	}
	return 0
}

func (s *Seat) renewal() (Target, point.Renew) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in := point.Renew{Owner: s.owner, Term: s.term, Lease: s.lease, Since: s.since, Ack: s.since, Wait: s.term / periods}
	if s.hasty || s.yields {
		in.Wait, s.hasty = 0, false
	}
	for seq := range s.pending {
		in.Ack = min(in.Ack, seq-1)
	}
	return s.target, in
}

func (s *Seat) reported(sent time.Duration, report *point.Report) {
	s.since = max(s.since, report.Seq)
	s.mu.Lock()
	if !s.guarded {
		s.current = lease.NewTerm(sent, s.term)
	}
	s.state = open
	s.target.Leaving = s.target.Leaving || report.Leaving
	for i := range report.Tasks {
		if report.Tasks[i].State.Ended() {
			s.pending[report.Tasks[i].Seq] = struct{}{}
		}
	}
	t := s.target
	resume := s.paused && !s.yields && s.inTermLocked()
	if resume {
		s.paused = false
	}
	s.mu.Unlock()
	s.sink.Reported(t, report)
	if resume {
		s.sink.Resumed(t)
	}
}

// missed handles a renewal that wasn't answered with a report.
func (s *Seat) missed(err error) time.Duration {
	var fenced *point.FencedError
	if errors.As(err, &fenced) {
		s.fenced(fenced)
		return 0
	}
	var lost *point.LostError
	if errors.As(err, &lost) && lost.Unsent {
		s.watch.Unsent()
	}
	s.failed++
	s.mu.Lock()
	s.state = silent
	s.mu.Unlock()
	s.pause()
	return s.backoff()
}

// fenced drops an endpoint that belongs to another.
func (s *Seat) fenced(e *point.FencedError) {
	s.epoch.Observe(e.Owner.Epoch)
	s.close()
}

// pause stops new work on the endpoint.
func (s *Seat) pause() {
	s.mu.Lock()
	was := s.paused
	s.paused = true
	t := s.target
	s.mu.Unlock()
	if !was {
		s.sink.Paused(t)
	}
}

func (s *Seat) close() {
	s.mu.Lock()
	s.state, s.pending, s.held = closed, nil, s.clock.Boot()
	t := s.target
	s.mu.Unlock()
	s.sink.Closed(t)
}

// reopen tries to open an endpoint again that left a renewal unanswered, until
// it answers or all leases there have run out and nobody else renewed them.
// Nothing is renewed before, and the new epoch keeps out what may still be
// under way of the old one.
func (s *Seat) reopen(ctx context.Context) time.Duration {
	if s.over() && s.witness.Abandoned(ctx, s.Target().Name) {
		epoch, _ := s.Owned()
		s.sink.Lapsed(s.Target(), epoch)
		s.close()
		return s.backoff()
	}
	return s.take(ctx)
}

// handOver gives the endpoint up: no new work, then the calls under way, then
// the release. Tasks run on under their leases, which the next owner renews.
// Calls that take long are not waited for: each has reached the endpoint by
// then, or is refused there.
func (s *Seat) handOver(ctx context.Context) time.Duration {
	s.pause()
	if s.yielded++; s.busy() && s.yielded < maxYields {
		return max(s.renew(ctx), s.term/yieldParts)
	}
	s.yielded = 0
	s.mu.Lock()
	t, o := s.target, s.owner
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.term/periods)
	defer cancel()
	if err := s.client.Release(ctx, t.Address, o); err != nil {
		var fenced *point.FencedError
		if !errors.As(err, &fenced) {
			s.failed++
			s.mu.Lock()
			s.state = silent
			s.mu.Unlock()
			return s.backoff()
		}
	}
	if s.guarded {
		s.fence.Release(ctx, t.Name, o)
	}
	s.close()
	return 0
}
