package parts

import (
	"maps"
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/timer"
)

// Holder is one process's parts of the limits of all teams. All methods may
// be called concurrently; only Settle calls the platform.
type Holder struct {
	name, zone string
	timer      *timer.Service
	linger     time.Duration

	mu     sync.RWMutex // guards teams
	teams  map[string]*split
	limits map[string]Dims // nil: every team has one of each resource
}

// Option changes how New makes a Holder.
type Option func(*Holder)

// WithTimer makes a Holder read the time from s.
func WithTimer(s *timer.Service) Option { return func(h *Holder) { h.timer = s } }

// WithLinger sets for how long what passed tasks took stays taken unless
// another holder asks for it, and how long a gift may go unconfirmed before a
// new round counts again. It must be longer than the leases of tasks.
func WithLinger(d time.Duration) Option { return func(h *Holder) { h.linger = d } }

// defaultLinger is longer than the lease of a task.
const defaultLinger = time.Minute

// New returns a holder without any part. No two processes, and no two runs of
// one, may have the same name.
func New(name, zone string, opts ...Option) *Holder {
	h := &Holder{name: name, zone: zone, linger: defaultLinger, teams: make(map[string]*split)}
	for _, opt := range opts {
		opt(h)
	}
	if h.timer == nil {
		h.timer = timer.New()
	}
	return h
}

// Limit says which teams have a limit, and of which resources; all others
// take without one. Until it is called, every team has one of each resource.
func (h *Holder) Limit(teams map[string]Dims) {
	m := make(map[string]Dims, len(teams))
	maps.Copy(m, teams)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = m
}

// limited returns the resources of which a team has a limit. The caller holds
// the lock.
func (h *Holder) limited(team string) Dims {
	if h.limits == nil {
		return allDims
	}
	return h.limits[team]
}

func (h *Holder) split(team string) *split {
	s, _ := h.find(team)
	return s
}

// find returns what the holder has of a team's limit, and of which resources
// there is one.
func (h *Holder) find(team string) (*split, Dims) {
	h.mu.RLock()
	s, limited := h.teams[team], h.limited(team)
	h.mu.RUnlock()
	if s != nil {
		return s, limited
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.teams[team]; s != nil {
		return s, limited
	}
	s = newSplit(team)
	h.teams[team] = s
	return s, limited
}

// Take counts n more and reports true, or changes nothing and reports false
// if it doesn't fit the holder's part of each resource.
func (h *Holder) Take(team string, n Amount) bool {
	s, limited := h.find(team)
	return s.take(n, limited, h.timer)
}

// Room reports what Take would, and counts nothing. A part that has room isn't
// idle.
func (h *Holder) Room(team string, n Amount) bool {
	s, limited := h.find(team)
	return s.room(n, limited, h.timer)
}

// Give counts n less, whose tasks are known to have ended or never to start.
func (h *Holder) Give(team string, n Amount) { h.split(team).give(n) }

// Adopt counts what tasks that run already take, even above the part. The
// holder takes no more of a resource until its part covers it.
func (h *Holder) Adopt(team string, n Amount) { h.split(team).adopt(n) }

// Pass counts n less, whose tasks run on under another holder, the heir, which
// adopts them. What they took can only be asked for by who runs such tasks,
// until the heir is known to the account and the linger time has passed; then
// a new round counts again.
func (h *Holder) Pass(team string, n Amount, heir string) {
	h.split(team).pass(n, heir, h.timer.Now())
}

// Part returns a team's part and what of it is taken.
func (h *Holder) Part(team string) (part, used Amount) {
	s := h.split(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.part, s.used.Add(s.parked)
}

// Wants returns the teams whose tasks were refused, or run above the part,
// with how much they lack. The caller asks its peers for it.
func (h *Holder) Wants() map[string]Amount {
	h.mu.RLock()
	defer h.mu.RUnlock()
	wants := make(map[string]Amount)
	for team, s := range h.teams {
		limited := h.limited(team)
		if limited == 0 {
			continue
		}
		s.mu.Lock()
		if n := limited.only(s.demand.Sub(s.free()).most(Amount{})); n.Any() {
			wants[team] = n
		}
		s.mu.Unlock()
	}
	return wants
}

// Teams returns the teams that the holder has to settle.
func (h *Holder) Teams() []string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var names []string
	for team := range h.teams {
		if h.limited(team) != 0 {
			names = append(names, team)
		}
	}
	return names
}

// Lacks reports whether the last Settle left a team with more refused, or more
// running, than its part has room for.
func (h *Holder) Lacks(team string) bool {
	s := h.split(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.short
}

// Done reports whether the row still has something that a team needed as a
// whole although it has started or is given up, so that others wait for
// nothing.
func (h *Holder) Done(team string) bool {
	s := h.split(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.told && s.large.lapsed(h.timer.Now())
}

// Seen returns the limit that the last Settle found in a team's row, and
// whether more than that was handed out.
func (h *Holder) Seen(team string) (limit Bound, over bool) {
	s := h.split(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bound, s.over != 0
}
