package parts

import (
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
	limits map[string]bool // nil: every team has one
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

// Limit says which teams have a limit; all others take without counting.
// Until it is called, every team has one.
func (h *Holder) Limit(teams []string) {
	m := make(map[string]bool, len(teams))
	for _, t := range teams {
		m[t] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = m
}

// Limited reports whether a team has a limit.
func (h *Holder) Limited(team string) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.limits == nil || h.limits[team]
}

func (h *Holder) split(team string) *split {
	h.mu.RLock()
	s := h.teams[team]
	h.mu.RUnlock()
	if s != nil {
		return s
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if s := h.teams[team]; s != nil {
		return s
	}
	s = newSplit(team)
	h.teams[team] = s
	return s
}

// Take counts n tasks more and reports true, or changes nothing and reports
// false if they don't fit the holder's part.
func (h *Holder) Take(team string, n int64) bool {
	s := h.split(team)
	if !h.Limited(team) {
		s.adopt(n)
		return true
	}
	return s.take(n)
}

// Give counts n tasks less, which are known to have ended or never to start.
func (h *Holder) Give(team string, n int64) { h.split(team).give(n) }

// Adopt counts n tasks that run already, even above the part. The holder
// takes nothing more until its part covers them.
func (h *Holder) Adopt(team string, n int64) { h.split(team).adopt(n) }

// Pass counts n tasks less that run on under another holder, the heir, which
// adopts them. What they took can only be asked for by who runs such tasks,
// until the heir is known to the account and the linger time has passed; then
// a new round counts again.
func (h *Holder) Pass(team string, n int64, heir string) {
	h.split(team).pass(n, heir, h.timer.Now())
}

// Part returns a team's part and what of it is taken.
func (h *Holder) Part(team string) (part, used int64) {
	s := h.split(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.part, s.used + s.parked
}

// Wants returns the teams whose tasks were refused, or run above the part,
// with how much they lack. The caller asks its peers for it.
func (h *Holder) Wants() map[string]int64 {
	h.mu.RLock()
	defer h.mu.RUnlock()
	wants := make(map[string]int64)
	for team, s := range h.teams {
		if h.limits != nil && !h.limits[team] {
			continue
		}
		s.mu.Lock()
		if n := s.demand - s.free(); n > 0 {
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
		if h.limits == nil || h.limits[team] {
			names = append(names, team)
		}
	}
	return names
}

// Exceeds reports whether the last Settle left more of a team's limit handed
// out, anywhere, than there is: the limit was lowered.
func (h *Holder) Exceeds(team string) bool {
	s := h.split(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.excess
}

// Lacks reports whether the last Settle left a team with more refused, or more
// running, than its part has room for.
func (h *Holder) Lacks(team string) bool {
	s := h.split(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.short
}
