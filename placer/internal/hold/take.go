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
	if s.asked <= s.epoch.Seen() {
		s.asked = s.epoch.Next()
	}
	t := s.Target()
	sent := s.clock.Boot()
	in := point.Open{Owner: point.Owner{Holder: s.holder, Epoch: s.asked}, Term: s.term}
	if !s.fence.Permit(ctx, t, in.Owner) {
		return s.term / periods
	}
	ctx, cancel := context.WithTimeout(ctx, s.term/periods)
	defer cancel()
	view, err := s.client.Open(ctx, t.Address, in)
	if err != nil {
		return s.refused(err)
	}
	s.opened(in.Owner, sent, &view)
	return 0
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
	s.epoch.Meet(fenced.Owner.Epoch)
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

func (s *Seat) opened(o point.Owner, sent time.Duration, view *point.View) {
	s.epoch.Meet(o.Epoch)
	s.failed = 0
	s.since = view.Seq
	s.watch = lease.NewWatch(s.lease, s.clock.Boot())
	s.mu.Lock()
	s.state, s.owner, s.paused, s.hasty = open, o, false, true
	s.current = lease.NewTerm(sent, s.term)
	s.guarded = view.Fence == point.FenceClock
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
