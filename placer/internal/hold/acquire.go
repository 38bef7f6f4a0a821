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
func (s *Ownership) acquire(ctx context.Context) time.Duration {
	if !s.inspected || s.needsTerm {
		if err := s.inspect(ctx); err != nil {
			return s.openFailed(err)
		}
	}
	if s.openEpoch <= s.epoch.Seen() {
		s.openEpoch = s.epoch.Next()
	}
	t := s.Target()
	sent := s.clock.Boot()
	in := point.Open{Owner: point.Owner{Holder: s.holder, Epoch: s.openEpoch}, Term: s.term}
	ctx, cancel := context.WithTimeout(ctx, s.term/renewalsPerTerm)
	defer cancel()
	term := lease.NewTerm(sent, s.term)
	if s.needsTerm {
		var ok bool
		if term, ok = s.fence.Permit(ctx, t.Name, in.Owner); !ok {
			return s.term / renewalsPerTerm
		}
	}
	view, err := s.client.Open(ctx, t.Address, in)
	if err != nil {
		return s.openFailed(err)
	}
	s.applyOpen(in.Owner, term, &view)
	return 0
}

// inspect reads the endpoint's kind of fencing and its current epoch. An
// endpoint that doesn't reject earlier owners may only be opened within a term.
func (s *Ownership) inspect(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.term/renewalsPerTerm)
	defer cancel()
	view, err := s.client.View(ctx, s.Target().Address)
	if err != nil {
		return err
	}
	s.epoch.Meet(view.Owner.Epoch)
	s.inspected = true
	s.mu.Lock()
	defer s.mu.Unlock()
	s.needsTerm = view.Fence == point.FenceClock
	return nil
}

// openFailed handles a failed open. An open without an answer is retried with
// the same epoch, which the endpoint grants to the same holder again.
func (s *Ownership) openFailed(err error) time.Duration {
	var fenced *point.FencedError
	if !errors.As(err, &fenced) {
		s.failures++
		return s.backoff()
	}
	s.failures = 0
	if fenced.Owner.Holder != s.holder {
		s.closeIfOwned()
	}
	first := fenced.Owner.Epoch > s.epoch.Seen()
	s.epoch.Meet(fenced.Owner.Epoch)
	if !fenced.Held && first {
		return 0
	}
	return s.term / (2 * renewalsPerTerm)
}

// closeIfOwned ends the ownership if there is one.
func (s *Ownership) closeIfOwned() {
	if _, owned := s.Owned(); owned {
		s.close()
	}
}

func (s *Ownership) applyOpen(o point.Owner, term lease.Term, view *point.View) {
	s.epoch.Meet(o.Epoch)
	s.failures = 0
	s.lastSeq = view.Seq
	s.watch = lease.NewWatch(s.lease, s.clock.Boot())
	s.mu.Lock()
	s.state, s.owner, s.paused, s.renewNow = open, o, false, true
	s.currentTerm = term
	s.target.Leaving = s.target.Leaving || view.Leaving
	s.unacked = make(map[uint64]struct{})
	for i := range view.Tasks {
		if view.Tasks[i].State.Ended() {
			s.unacked[view.Tasks[i].Seq] = struct{}{}
		}
	}
	t := s.target
	s.mu.Unlock()
	v := *view
	v.Owner = o
	s.sink.Opened(t, &v)
}

// backoff returns a wait that grows with the number of consecutive failures.
func (s *Ownership) backoff() time.Duration {
	return min(s.term/(4*renewalsPerTerm)*time.Duration(s.failures), s.term/renewalsPerTerm)
}
