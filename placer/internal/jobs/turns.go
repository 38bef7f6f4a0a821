package jobs

import (
	"slices"
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/timer"
)

const (
	// turnTime is how long a gang is waited for whose driver is silent.
	turnTime = 3 * time.Second
	// gatherTime bounds a turn while others wait for theirs. A placer keeps
	// its endpoints from all other work for a gang that has waited for less.
	gatherTime = 15 * time.Minute
)

// turns lets one gang at a time book room at several placers, in the order in
// which they asked, so that none keeps from another what it has in part. Two
// placers that both think the turns are theirs to give do no harm but waste:
// a gang that loses its turn gives back what it has. All methods may be
// called concurrently.
type turns struct {
	timer *timer.Service

	mu   sync.Mutex // guards list
	list []*turn
}

// turn is one gang's place in the line.
type turn struct {
	id    string
	asked time.Duration // last
	since time.Duration // when it came first in the line
}

func newTurns(t *timer.Service) *turns { return &turns{timer: t} }

// ask reports whether it is a gang's turn.
func (s *turns) ask(in *ask) bool {
	now := s.timer.Boot()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list = slices.DeleteFunc(s.list, func(t *turn) bool {
		return now-t.asked > turnTime || in.Over && t.id == in.ID
	})
	if in.Over {
		return false
	}
	i := slices.IndexFunc(s.list, func(t *turn) bool { return t.id == in.ID })
	if i < 0 {
		i = len(s.list)
		s.list = append(s.list, &turn{id: in.ID})
	}
	s.list[i].asked = now
	first := s.list[0]
	if first.since == 0 {
		first.since = now
	}
	if len(s.list) > 1 && now-first.since > gatherTime {
		first.since = 0
		s.list = append(s.list[1:], first)
		s.list[0].since = now
	}
	return s.list[0].id == in.ID
}
