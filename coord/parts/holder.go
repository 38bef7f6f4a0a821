package parts

import (
	"maps"
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/timer"
)

// Holder has one process's parts of the limits of all teams. All methods may be
// called concurrently. Only Settle calls the platform.
type Holder struct {
	name, zone string
	timer      *timer.Service
	linger     time.Duration

	mu     sync.RWMutex // guards teams and limits
	teams  map[string]*teamPart
	limits map[string]Dims // limited resources by team; if nil, all resources of all teams are limited
}

// Option changes how New makes a Holder.
type Option func(*Holder)

// WithTimer sets the clock. The default is a new timer.Service.
func WithTimer(s *timer.Service) Option { return func(h *Holder) { h.timer = s } }

// WithLinger sets the minimum time for which the holder reserves what passed
// tasks take (see Pass), and the time after which an unconfirmed transfer makes
// the holder start a new round. It must be longer than the leases of tasks. The
// default is 1 minute.
func WithLinger(d time.Duration) Option { return func(h *Holder) { h.linger = d } }

// defaultLinger is longer than the lease of a task.
const defaultLinger = time.Minute

// New returns a Holder without any part. The name must be unique among all
// processes, including earlier runs of the same process.
func New(name, zone string, opts ...Option) *Holder {
	h := &Holder{name: name, zone: zone, linger: defaultLinger, teams: make(map[string]*teamPart)}
	for _, opt := range opts {
		opt(h)
	}
	if h.timer == nil {
		h.timer = timer.New()
	}
	return h
}

// Limit sets the teams that have a limit, and the resources that are limited.
// Other teams and resources are unlimited. Until Limit is called, all resources
// of all teams are limited.
func (h *Holder) Limit(teams map[string]Dims) {
	m := make(map[string]Dims, len(teams))
	maps.Copy(m, teams)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits = m
}

// limited returns the limited resources of a team. The caller holds mu.
func (h *Holder) limited(team string) Dims {
	if h.limits == nil {
		return allDims
	}
	return h.limits[team]
}

// teamPart returns the holder's state for a team, which it creates if necessary.
func (h *Holder) teamPart(team string) *teamPart {
	s, _ := h.find(team)
	return s
}

// find returns the holder's state for a team, which it creates if necessary, and
// the limited resources of the team.
func (h *Holder) find(team string) (*teamPart, Dims) {
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
	s = newTeamPart(team)
	h.teams[team] = s
	return s, limited
}

// Take takes n from the holder's part and reports true. If n doesn't fit the
// free part of each limited resource, Take reports false and takes nothing, and
// the next Settle tries to obtain what is missing.
func (h *Holder) Take(team string, n Amount) bool {
	s, limited := h.find(team)
	return s.take(n, limited, h.timer)
}

// Room reports whether Take would succeed, without taking anything. If it would,
// the part counts as needed now, so that the holder doesn't return it as idle. If
// it wouldn't, the next Settle tries to obtain what is missing.
func (h *Holder) Room(team string, n Amount) bool {
	s, limited := h.find(team)
	return s.room(n, limited, h.timer)
}

// Give gives back n that was taken. The tasks must be known to have ended, or
// never to start.
func (h *Holder) Give(team string, n Amount) { h.teamPart(team).give(n) }

// Adopt takes n for tasks that run already, even if that exceeds the part. The
// holder can take no more of a resource until its part covers what is taken.
func (h *Holder) Adopt(team string, n Amount) { h.teamPart(team).adopt(n) }

// Pass gives back n whose tasks keep running under another holder, the
// successor, which has to Adopt them. The holder reserves n for them: only
// holders whose tasks exceed their parts can obtain it by an Ask. The
// reservation ends in a new round, which is started once the successor is in the
// account and the linger time has passed.
func (h *Holder) Pass(team string, n Amount, successor string) {
	h.teamPart(team).pass(n, successor, h.timer.Now())
}

// Part returns the holder's part of a team's limit, and the amount of it that is
// taken or reserved.
func (h *Holder) Part(team string) (part, used Amount) {
	s := h.teamPart(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.part, s.used.Add(s.reserved)
}

// Wants returns, by team, the amount that is missing for refused tasks and for
// tasks that run above the part. The caller sends an Ask for it to its peers.
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
		if n := limited.only(s.demand.Sub(s.free()).max(Amount{})); n.Any() {
			wants[team] = n
		}
		s.mu.Unlock()
	}
	return wants
}

// Teams returns the teams for which Settle has to be called.
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

// Lacks reports whether the last Settle didn't obtain all that was missing for a
// team's refused and running tasks.
func (h *Holder) Lacks(team string) bool {
	s := h.teamPart(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.short
}

// HasStaleRequest reports whether the row still announces a large request of the
// team that has started or is no longer made. Settle should be called soon then,
// because other holders yield to the request.
func (h *Holder) HasStaleRequest(team string) bool {
	s := h.teamPart(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.announced && s.large.lapsed(h.timer.Now())
}

// Seen returns the limit that the last Settle found in a team's row, and whether
// more than that was allocated.
func (h *Holder) Seen(team string) (limit Bound, over bool) {
	s := h.teamPart(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bound, s.over != 0
}
