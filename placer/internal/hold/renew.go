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
func (s *Ownership) renew(ctx context.Context) time.Duration {
	t, in := s.renewRequest()
	sent := s.clock.Boot()
	if !s.renewTerm(ctx, t, in.Owner) {
		return 0
	}
	s.watch.Sent()
	ctx, cancel := context.WithTimeout(ctx, in.Wait+s.term/renewalsPerTerm)
	defer cancel()
	report, err := s.client.Renew(ctx, t.Address, in)
	if err != nil {
		return s.renewFailed(err)
	}
	s.watch.Answered(s.clock.Boot())
	s.failures = 0
	s.applyReport(sent, &report)
	return s.renewDelay(sent, in.Wait)
}

// renewTerm renews the term of an endpoint without fencing. It returns false
// if another placer owns the endpoint now.
func (s *Ownership) renewTerm(ctx context.Context, t Target, o point.Owner) bool {
	if !s.needsTerm {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, s.term/renewalsPerTerm)
	defer cancel()
	term, err := s.fence.Renew(ctx, t.Name, o)
	var taken *TakenError
	if errors.As(err, &taken) {
		s.close()
		return false
	}
	s.mu.Lock()
	if err == nil {
		s.currentTerm = term
	}
	valid := s.termValidLocked()
	s.mu.Unlock()
	if !valid {
		s.pause()
	}
	return true
}

// renewDelay returns the wait before the next renewal. It enforces a minimum
// interval, because an endpoint with many events answers at once.
func (s *Ownership) renewDelay(sent, wait time.Duration) time.Duration {
	minInterval := s.term / (10 * renewalsPerTerm)
	if spent := s.clock.Boot() - sent; wait > 0 && spent < minInterval {
		return minInterval - spent
	}
	return 0
}

func (s *Ownership) renewRequest() (Target, point.Renew) {
	s.mu.Lock()
	defer s.mu.Unlock()
	in := point.Renew{Owner: s.owner, Term: s.term, Lease: s.lease, Since: s.lastSeq, Ack: s.lastSeq, Wait: s.term / renewalsPerTerm}
	if s.renewNow || s.handingOver {
		in.Wait, s.renewNow = 0, false
	}
	for seq := range s.unacked {
		in.Ack = min(in.Ack, seq-1)
	}
	return s.target, in
}

func (s *Ownership) applyReport(sent time.Duration, report *point.Report) {
	s.lastSeq = max(s.lastSeq, report.Seq)
	s.mu.Lock()
	if !s.needsTerm {
		s.currentTerm = lease.NewTerm(sent, s.term)
	}
	s.state = open
	s.target.Leaving = s.target.Leaving || report.Leaving
	for i := range report.Tasks {
		if report.Tasks[i].State.Ended() {
			s.unacked[report.Tasks[i].Seq] = struct{}{}
		}
	}
	t := s.target
	resume := s.paused && !s.handingOver && s.termValidLocked()
	if resume {
		s.paused = false
	}
	s.mu.Unlock()
	s.sink.Reported(t, report)
	if resume {
		s.sink.Resumed(t)
	}
}

// renewFailed handles a renewal that returned an error.
func (s *Ownership) renewFailed(err error) time.Duration {
	var fenced *point.FencedError
	if errors.As(err, &fenced) {
		s.closeFenced(fenced)
		return 0
	}
	var lost *point.LostError
	if errors.As(err, &lost) && lost.Unsent {
		s.watch.Unsent()
	}
	s.failures++
	s.mu.Lock()
	s.state = unreachable
	s.mu.Unlock()
	s.pause()
	return s.backoff()
}

// closeFenced ends the ownership of an endpoint that another placer owns.
func (s *Ownership) closeFenced(e *point.FencedError) {
	s.epoch.Meet(e.Owner.Epoch)
	s.close()
}

// pause stops new starts on the endpoint.
func (s *Ownership) pause() {
	s.mu.Lock()
	wasPaused := s.paused
	s.paused = true
	t := s.target
	s.mu.Unlock()
	if !wasPaused {
		s.sink.Paused(t)
	}
}

func (s *Ownership) close() {
	s.mu.Lock()
	s.state, s.unacked, s.lastOwned = closed, nil, s.clock.Boot()
	t := s.target
	s.mu.Unlock()
	s.sink.Closed(t)
}

// reopen tries to open an endpoint again after a renewal without an answer. It
// gives up once all leases there have expired and no other placer can have
// renewed them. No lease is renewed until the endpoint has been opened, and the
// new epoch makes the endpoint reject delayed messages of the old one.
func (s *Ownership) reopen(ctx context.Context) time.Duration {
	if s.leasesExpired() && s.witness.Abandoned(ctx, s.Target().Name) {
		epoch, _ := s.Owned()
		s.sink.Lapsed(s.Target(), epoch)
		s.close()
		return s.backoff()
	}
	return s.acquire(ctx)
}

// handOver releases the endpoint: it stops new starts, waits for the calls in
// progress and sends the release. Tasks continue under their leases, which the
// next owner renews. The wait is bounded: a call that takes longer has reached
// the endpoint by then, or the endpoint rejects it.
func (s *Ownership) handOver(ctx context.Context) time.Duration {
	s.pause()
	if s.handOverRenewals++; s.hasPasses() && s.handOverRenewals < maxHandOverRenewals {
		return max(s.renew(ctx), s.term/handOverRenewalsPerTerm)
	}
	s.handOverRenewals = 0
	s.mu.Lock()
	t, o := s.target, s.owner
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, s.term/renewalsPerTerm)
	defer cancel()
	if err := s.client.Release(ctx, t.Address, o); err != nil {
		var fenced *point.FencedError
		if !errors.As(err, &fenced) {
			s.failures++
			s.mu.Lock()
			s.state = unreachable
			s.mu.Unlock()
			return s.backoff()
		}
	}
	if s.needsTerm {
		s.fence.Release(ctx, t.Name, o)
	}
	s.close()
	return 0
}
