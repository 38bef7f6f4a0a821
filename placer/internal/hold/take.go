package hold

import (
	"context"
	"errors"
	"time"

	"github.com/balsamford/balsamford/coord/lease"
	"github.com/balsamford/balsamford/coord/point"
)

// periods is how many times in a term it is renewed; so one renewal may be
// lost.
const periods = 3

// take asks for ownership.
func (s *Seat) take(ctx context.Context) time.Duration {
	if !s.looked || s.guarded {
		if err := s.look(ctx); err != nil {
			return s.refused(err)
		}
	}
	if s.asked <= s.epoch.Seen() {
		s.asked = s.epoch.Next()
	}
	t := s.Target()
	sent := s.clock.Boot()
	in := point.Open{Owner: point.Owner{Holder: s.holder, Epoch: s.asked}, Term: s.term}
	ctx, cancel := context.WithTimeout(ctx, s.term/periods)
	defer cancel()
	term := lease.NewTerm(sent, s.term)
	if s.guarded {
		var ok bool
		if term, ok = s.fence.Permit(ctx, t.Name, in.Owner); !ok {
			return s.term / periods
		}
	}
	view, err := s.client.Open(ctx, t.Address, in)
	if err != nil {
		return s.refused(err)
	}
	s.opened(in.Owner, term, &view)
	return 0
}

// look learns how the endpoint is fenced and which epoch it has. One that
// doesn't refuse old owners may only be opened with a term.
func (s *Seat) look(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, s.term/periods)
	defer cancel()
	view, err := s.client.View(ctx, s.Target().Address)
	if err != nil {
		return err
	}
	s.epoch.Observe(view.Owner.Epoch)
	s.looked = true
	s.mu.Lock()
	defer s.mu.Unlock()
	s.guarded = view.Fence == point.FenceClock
	return nil
}

// refused handles a failed open. One that got no answer is asked again with
// the same epoch, which the endpoint grants the same holder once more.
func (s *Seat) refused(err error) time.Duration {
	var fenced *point.FencedError
	if !errors.As(err, &fenced) {
		s.failed++
		return s.backoff()
	}
	s.failed = 0
	if fenced.Owner.Holder != s.holder {
		s.lose()
	}
	first := fenced.Owner.Epoch > s.epoch.Seen()
	s.epoch.Observe(fenced.Owner.Epoch)
	if !fenced.Held && first {
		return 0
	}
	return s.term / (2 * periods)
}

// lose closes the seat if it was owned.
func (s *Seat) lose() {
	if _, owned := s.Owned(); owned {
		s.close()
	}
}

func (s *Seat) opened(o point.Owner, term lease.Term, view *point.View) {
	s.epoch.Observe(o.Epoch)
	s.failed = 0
	s.since = view.Seq
	s.watch = lease.NewTracker(s.lease, s.clock.Boot())
	s.mu.Lock()
	s.state, s.owner, s.paused, s.hasty = open, o, false, true
	s.current = term
	s.target.Leaving = s.target.Leaving || view.Leaving
	s.pending = make(map[uint64]struct{})
	for i := range view.Tasks {
		if view.Tasks[i].State.Ended() {
			s.pending[view.Tasks[i].Seq] = struct{}{}
		}
	}
	t := s.target
	s.mu.Unlock()
	v := *view
	v.Owner = o
	s.sink.Opened(t, &v)
}

// backoff returns a wait that grows with the calls that failed in a row.
func (s *Seat) backoff() time.Duration {
	return min(s.term/(4*periods)*time.Duration(s.failed), s.term/periods)
}
