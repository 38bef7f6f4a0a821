package share

import (
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

const (
	// Period is the maximum time between two summaries of a placer.
	Period = 5 * time.Second
	// SummaryTTL is how long the latest summary of a silent peer counts.
	SummaryTTL = 3 * Period
)

// View is the usage at all peers of a placer. All methods may be called
// concurrently.
type View struct {
	timer *timer.Service

	mu       sync.Mutex // guards the fields below
	peers    map[string]peer
	used     map[string]wire.Needs // total by team
	capacity wire.Needs            // total
	version  uint64
	oldest   time.Time // arrival of the oldest summary in peers
}

type peer struct {
	summary    Summary
	receivedAt time.Time
}

// New returns a view without peers.
func New(t *timer.Service) *View {
	return &View{timer: t, peers: make(map[string]peer), used: make(map[string]wire.Needs)}
}

// Merge adds a peer's summary, unless a newer summary of that peer is known.
func (v *View) Merge(s Summary) {
	now := v.timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	if old, ok := v.peers[s.Placer]; ok && !s.newer(&old.summary) {
		return
	}
	v.peers[s.Placer] = peer{s, now}
	v.recompute(now)
}

// Forget removes a peer.
func (v *View) Forget(placer string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	delete(v.peers, placer)
	v.recompute(v.timer.Now())
}

// recompute drops expired peers and adds up the summaries of all others.
func (v *View) recompute(now time.Time) {
	clear(v.used)
	v.capacity, v.oldest = wire.Needs{}, now
	for name, p := range v.peers {
		if now.Sub(p.receivedAt) > SummaryTTL {
			delete(v.peers, name)
			continue
		}
		if p.receivedAt.Before(v.oldest) {
			v.oldest = p.receivedAt
		}
		v.capacity = v.capacity.Add(p.summary.Capacity)
		for i := range p.summary.Teams {
			u := &p.summary.Teams[i]
			v.used[u.Team] = v.used[u.Team].Add(u.Needs())
		}
	}
	v.version++
}

// Version returns a number that increases whenever the view changes. It also
// drops peers that were silent for longer than SummaryTTL, which changes the view.
func (v *View) Version() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now := v.timer.Now(); len(v.peers) > 0 && now.Sub(v.oldest) > SummaryTTL {
		v.recompute(now)
	}
	return v.version
}

// Used returns the usage of a team at all peers.
func (v *View) Used(team string) wire.Needs {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.used[team]
}

// Capacity returns the total capacity of all peers.
func (v *View) Capacity() wire.Needs {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.capacity
}
