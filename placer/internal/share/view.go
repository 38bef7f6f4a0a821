package share

import (
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

const (
	// Period is the time between two summaries of a placer.
	Period = 5 * time.Second
	// Keep is how long a peer's last summary counts.
	Keep = 3 * Period
)

// View is what the peers of a placer use. All methods may be called
// concurrently.
type View struct {
	timer *timer.Service

	mu       sync.Mutex // guards the fields below
	peers    map[string]peer
	used     map[string]wire.Needs
	capacity wire.Needs
	version  uint64
	oldest   time.Time // of the peers' summaries
}

type peer struct {
	summary Summary
	at      time.Time
}

// New returns a view without peers.
func New(t *timer.Service) *View {
	return &View{timer: t, peers: make(map[string]peer), used: make(map[string]wire.Needs)}
}

// Merge takes a peer's summary in, unless a newer one of it is known.
func (v *View) Merge(s Summary) {
	now := v.timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if old, ok := v.peers[s.Placer]; ok && !s.newer(&old.summary) {
		return
	}
	v.peers[s.Placer] = peer{s, now}
	v.add(now)
}

// Forget drops a peer that left.
func (v *View) Forget(placer string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.peers, placer)
	v.add(v.timer.Now())
}

func (v *View) add(now time.Time) {
	clear(v.used)
	v.capacity, v.oldest = wire.Needs{}, now
	for name, p := range v.peers {
		if now.Sub(p.at) > Keep {
			delete(v.peers, name)
			continue
		}
		if p.at.Before(v.oldest) {
			v.oldest = p.at
		}
		v.capacity = v.capacity.Add(p.summary.Capacity)
		for i := range p.summary.Teams {
			u := &p.summary.Teams[i]
			v.used[u.Team] = v.used[u.Team].Add(u.Needs())
		}
	}
	v.version++
}

// Version returns a number that goes up when the view changes, also because a
// peer has been silent for Keep.
func (v *View) Version() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now := v.timer.Now(); len(v.peers) > 0 && now.Sub(v.oldest) > Keep {
		v.add(now)
	}
	return v.version
}

// Used returns what a team uses at the peers.
func (v *View) Used(team string) wire.Needs {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.used[team]
}

// Capacity returns what the peers have.
func (v *View) Capacity() wire.Needs {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.capacity
}
