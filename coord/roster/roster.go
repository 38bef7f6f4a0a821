package roster

import (
	"context"
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
	clock  Clock
	lapse  time.Duration
	memory time.Duration // for how long one that is gone is known

	mu     sync.Mutex // guards the fields below
	self   Member
	known  map[string]*entry
	former map[string]former  // of forgotten members
	blank  time.Duration      // since when those that aren't known have surely not run
	listed time.Duration      // when settings or the host list last named anybody
	last   time.Duration      // when the latest round began
	rounds uint64             // how many there were
	fresh  bool               // news came since the latest round
	wake   context.CancelFunc // ends the wait between two rounds; nil outside of it
}

// Option changes how New makes a Roster.
type Option func(*Roster)

// WithLapse sets after how long without a heartbeat a member counts as dead.
func WithLapse(d time.Duration) Option {
	return func(r *Roster) { r.lapse = d }
}

// New returns a Roster that holds self alone.
func New(self Member, clock Clock, opts ...Option) *Roster {
	r := &Roster{clock: clock, lapse: defaultLapse, memory: defaultMemory, self: self, known: make(map[string]*entry), former: make(map[string]former)}
	for _, opt := range opts {
		opt(r)
	}
	r.blank = clock.Boot()
	r.last = r.blank
	return r
}

// Silent returns how long the member of that name has surely not run: zero for
// one that counts as alive, for one that is dead the time since it was called
// so, and for one that was never met the time since it was found. It is no
// bound for a member that runs and can't be reached.
func (r *Roster) Silent(name string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.known[name]
	switch {
	case !ok:
		return r.clock.Boot() - r.goneLocked(name)
	case e.alive:
		return 0
	}
	return r.clock.Boot() - e.sign
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
// only once it has been heard or another member told of it. What a member
// says of itself goes before what was found, but for Leaving, where either is
// enough; what was found of that counts for one lapse.
func (r *Roster) Found(m Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.Name == r.self.Name {
		return
	}
	now := r.clock.Boot()
	e, ok := r.known[m.Name]
	if !ok {
		e = &entry{member: m, sign: now}
		r.known[m.Name] = e
	}
	e.found, r.listed = now, now
	if !e.alive {
		e.member.Link, e.member.Zone = m.Link, m.Zone
	}
	if m.Leaving {
		e.listed = now + r.lapse
	}
}

// Heard notes a heartbeat and reports whether it was taken; one of an earlier
// process of that name is not, nor one that others have called dead since.
func (r *Roster) Heard(m Member) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.heardLocked(m)
}

// Peers returns all members other than this process, alive or not, by name.
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

// Live returns the members that are alive and not leaving, this process
// included, by name.
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
	if !ok {
		return Member{}, false
	}
	return e.described(r.clock.Boot()), e.alive
}

func sorted(m []Member) []Member {
	sort.Slice(m, func(i, j int) bool { return m[i].Name < m[j].Name })
	return m
}
