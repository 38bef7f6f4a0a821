package roster

import (
	"context"
	"sort"
	"sync"
	"time"
)

// Clock is a clock that keeps running while the process is suspended.
type Clock interface {
	// Boot returns the reading of the clock.
	Boot() time.Duration
}

const defaultLapse = 2 * time.Second

// Roster is the set of members known to one process, including itself. All
// methods may be called concurrently.
type Roster struct {
	clock     Clock
	lapse     time.Duration
	retention time.Duration // how long a dead member that is no longer listed is kept

	mu               sync.Mutex // guards the fields below
	self             Member
	known            map[string]*entry          // other members, by name
	forgotten        map[string]forgottenMember // by name
	unknownDownSince time.Duration              // since when members in neither map have certainly not run
	lastListing      time.Duration              // when settings or the host list last named any member
	lastRound        time.Duration              // when the latest round began
	rounds           uint64                     // number of rounds so far
	hasNews          bool                       // there are updates since the latest round
	wake             context.CancelFunc         // ends the wait between two rounds; nil outside of the wait
}

// Option changes how New makes a Roster.
type Option func(*Roster)

// WithLapse sets the time without a heartbeat after which a member is considered
// dead. The default is 2 seconds.
func WithLapse(d time.Duration) Option {
	return func(r *Roster) { r.lapse = d }
}

// New returns a Roster whose only member is self.
func New(self Member, clock Clock, opts ...Option) *Roster {
	r := &Roster{clock: clock, lapse: defaultLapse, retention: defaultRetention, self: self, known: make(map[string]*entry), forgotten: make(map[string]forgottenMember)}
	for _, opt := range opts {
		opt(r)
	}
	r.unknownDownSince = clock.Boot()
	r.lastRound = r.unknownDownSince
	return r
}

// Silent returns how long the given member has certainly not run. It is zero for
// a member that is considered alive, the time since it was declared dead for a
// dead one, and the time since settings or the host list first named it for one
// that has never been seen. It doesn't hold for a member that runs but can't be
// reached.
func (r *Roster) Silent(name string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.known[name]
	switch {
	case !ok:
		return r.clock.Boot() - r.downSinceLocked(name)
	case e.alive:
		return 0
	}
	return r.clock.Boot() - e.downSince
}

// Self returns this process's description of itself.
func (r *Roster) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Leave marks this process as leaving in all later heartbeats.
func (r *Roster) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Leaving = true
}

// Found adds a member that is named by settings or the host list. The member is
// considered alive only once a heartbeat of it, or an update about it, has been
// received. What a member says about itself takes precedence over m, except for
// Leaving: if either says so, the member is leaving. m's Leaving is valid for one
// lapse.
func (r *Roster) Found(m Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Name == r.self.Name {
		return
	}
	now := r.clock.Boot()
	e, ok := r.known[m.Name]
	if !ok {
		e = &entry{member: m, downSince: now}
		r.known[m.Name] = e
	}
	e.lastListed, r.lastListing = now, now
	if !e.alive {
		e.member.Link, e.member.Zone = m.Link, m.Zone
	}
	if m.Leaving {
		e.leavingUntil = now + r.lapse
	}
}

// Heard records a heartbeat and reports whether it was accepted. A heartbeat of
// an earlier process of that name is not accepted, nor one of a member that was
// declared dead and hasn't raised its turn yet.
func (r *Roster) Heard(m Member) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heartbeatLocked(m)
}

// Peers returns all other members, alive or not, sorted by name.
func (r *Roster) Peers() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Boot()
	out := make([]Member, 0, len(r.known))
	for _, e := range r.known {
		out = append(out, e.described(now))
	}
	return sorted(out)
}

// Live returns the members that are alive and not leaving, including this
// process, sorted by name.
func (r *Roster) Live() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Boot()
	out := make([]Member, 0, len(r.known)+1)
	if !r.self.Leaving {
		out = append(out, r.self)
	}
	for _, e := range r.known {
		if e.alive && !e.leaving(now) {
			out = append(out, e.member)
		}
	}
	return sorted(out)
}

// Names returns the names of the members returned by Live, in the same order.
func (r *Roster) Names() []string {
	live := r.Live()
	out := make([]string, len(live))
	for i, m := range live {
		out[i] = m.Name
	}
	return out
}

// Alive returns the member of that name, and whether it is alive. A leaving
// member is still alive.
func (r *Roster) Alive(name string) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == r.self.Name {
		return r.self, true
	}
	e, ok := r.known[name]
	if !ok {
		return Member{}, false
	}
	return e.described(r.clock.Boot()), e.alive
}

// sorted sorts m by name and returns it.
func sorted(m []Member) []Member {
	sort.Slice(m, func(i, j int) bool { return m[i].Name < m[j].Name })
	return m
}
