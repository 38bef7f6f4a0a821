package roster

import (
	"sort"
	"sync"
	"time"
)

// Clock reads a clock that goes on while the process is suspended.
type Clock interface {
	Boot() time.Duration
}

const defaultLapse = 2 * time.Second

// Roster is the set of members known to one process, itself included. All
// methods may be called concurrently.
type Roster struct {
	clock Clock
	lapse time.Duration
	began time.Duration

	mu    sync.Mutex // guards the fields below
	self  Member
	known map[string]entry
}

type entry struct {
	member Member
	heard  time.Duration
	alive  bool // heard at least once
}

// Option changes how New makes a Roster.
type Option func(*Roster)

// WithLapse sets after how long without a heartbeat a member counts as dead.
func WithLapse(d time.Duration) Option {
	return func(r *Roster) { r.lapse = d }
}

// New returns a Roster that holds self alone.
func New(self Member, clock Clock, opts ...Option) *Roster {
	r := &Roster{clock: clock, lapse: defaultLapse, self: self, known: make(map[string]entry)}
	for _, opt := range opts {
		opt(r)
	}
	r.began = clock.Boot()
	return r
}

// Silent returns how long nothing was heard from the member of that name; for
// one that was never heard, how long this roster has existed.
func (r *Roster) Silent(name string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.known[name]; e.alive {
		return r.clock.Boot() - e.heard
	}
	return r.clock.Boot() - r.began
}

// Self returns the member that this process is.
func (r *Roster) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// Leave marks this process as leaving in its heartbeats from now on.
func (r *Roster) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.self.Leaving = true
}

// Found adds a member that settings or the host list name. It counts as alive
// only once it has been heard. What a member says of itself goes before what
// was found, but for Leaving, where either is enough.
func (r *Roster) Found(m Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Name == r.self.Name {
		return
	}
	e, ok := r.known[m.Name]
	if !ok {
		r.known[m.Name] = entry{member: m}
		return
	}
	if !e.alive || r.dead(e) {
		e.member.Link, e.member.Zone = m.Link, m.Zone
	}
	e.member.Leaving = e.member.Leaving || m.Leaving
	r.known[m.Name] = e
}

// Heard notes a heartbeat and reports whether it was taken; one of an earlier
// process of that name is not.
func (r *Roster) Heard(m Member) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.known[m.Name]
	if m.Name == r.self.Name || (e.alive && m.Epoch < e.member.Epoch) {
		return false
	}
	r.known[m.Name] = entry{member: m, heard: r.clock.Boot(), alive: true}
	return true
}

// Peers returns all members other than this process, alive or not, by name.
// Heartbeats are sent to each of them.
func (r *Roster) Peers() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Member, 0, len(r.known))
	for _, e := range r.known {
		out = append(out, e.member)
	}
	return sorted(out)
}

// Live returns the members that are alive and not leaving, this process
// included, by name.
func (r *Roster) Live() []Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Member, 0, len(r.known)+1)
	if !r.self.Leaving {
		out = append(out, r.self)
	}
	for _, e := range r.known {
		if e.alive && !r.dead(e) && !e.member.Leaving {
			out = append(out, e.member)
		}
	}
	return sorted(out)
}

// Names returns the names of Live.
func (r *Roster) Names() []string {
	live := r.Live()
	out := make([]string, len(live))
	for i, m := range live {
		out[i] = m.Name
	}
	return out
}

// Alive returns the member of that name and whether it is alive, leaving or
// not.
func (r *Roster) Alive(name string) (Member, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if name == r.self.Name {
		return r.self, true
	}
	e, ok := r.known[name]
	return e.member, ok && e.alive && !r.dead(e)
}

func (r *Roster) dead(e entry) bool { return r.clock.Boot()-e.heard > r.lapse }

func sorted(m []Member) []Member {
	sort.Slice(m, func(i, j int) bool { return m[i].Name < m[j].Name })
	return m
}
