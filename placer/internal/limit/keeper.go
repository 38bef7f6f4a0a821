package limit

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/parts"
	"github.com/balsamford/balsamford/coord/timer"
)

// settlePeriod is the longest time between two settlements of a team. With it,
// 200 placers and 47 teams read the table 313 times a second while nothing
// moves.
const settlePeriod = 30 * time.Second

// settlePause is the first pause after a settlement that gave too little, and
// each pause while a lowered limit waits for parts.
const settlePause = time.Second

// spareParts is how much more than what runs a placer claims of a limit: one
// part in so many.
const spareParts = 64

// Keeper implements sched.Limit. All methods may be called concurrently; only
// Settle, Bury and Publish call the platform.
type Keeper struct {
	zone   string
	timer  *timer.Service
	holder *parts.Holder

	mu     sync.Mutex // guards the fields below
	limits map[string]parts.Bound
	last   map[string]time.Time     // when a team was settled
	pause  map[string]time.Duration // after a settlement that gave a team too little
	turn   int                      // of the peer that is asked next
	fresh  bool                     // a limit has changed since Changed was called
}

// New returns a keeper without any part. The name must never come back.
func New(name, zone string, t *timer.Service) *Keeper {
	k := &Keeper{zone: zone, timer: t, last: make(map[string]time.Time), pause: make(map[string]time.Duration), holder: parts.New(name, zone, parts.WithTimer(t))}
	k.holder.Limit(nil)
	return k
}

// Configure says which teams have which limit. All others have none.
func (k *Keeper) Configure(limits map[string]parts.Bound) {
	teams := make(map[string]parts.Dims, len(limits))
	for team, limit := range limits {
		teams[team] = limit.Dims
	}
	k.mu.Lock()
	for team, limit := range limits {
		if old, ok := k.limits[team]; !ok || old != limit {
			delete(k.last, team)
			k.fresh = true
		}
	}
	k.limits = limits
	k.mu.Unlock()
	k.holder.Limit(teams)
}

// Exceeded implements sched.Limit.
func (k *Keeper) Exceeded(team string, n parts.Amount) (name string, limit int64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.limits[team].Exceeded(n)
}

// Room implements sched.Limit.
func (k *Keeper) Room(team string, n parts.Amount) bool { return k.holder.Room(team, n) }

// Take implements sched.Limit.
func (k *Keeper) Take(team string, n parts.Amount) bool { return k.holder.Take(team, n) }

// Give implements sched.Limit.
func (k *Keeper) Give(team string, n parts.Amount) { k.holder.Give(team, n) }

// Adopt implements sched.Limit.
func (k *Keeper) Adopt(team string, n parts.Amount) { k.holder.Adopt(team, n) }

// Pass implements sched.Limit.
func (k *Keeper) Pass(team string, n parts.Amount, heir string) {
	k.holder.Pass(team, n, heir)
}

// Request is a message to one peer.
type Request struct {
	Peer string
	Ask  parts.Ask
}

// Asks returns what to send now: for each team that lacks room, an Ask to the
// next of the peers in turn.
func (k *Keeper) Asks(peers []string) []Request {
	if len(peers) == 0 {
		return nil
	}
	k.mu.Lock()
	k.turn++
	peer := peers[k.turn%len(peers)]
	k.mu.Unlock()
	var out []Request
	for team, n := range k.holder.Wants() {
		out = append(out, Request{Peer: peer, Ask: k.holder.Ask(peer, team, n)})
	}
	return out
}

// Serve answers a peer's Ask.
func (k *Keeper) Serve(a parts.Ask) parts.Grant { return k.holder.Serve(a) }

// Accept takes an answer. If it gave something, confirm is to be sent to the
// giver.
func (k *Keeper) Accept(g parts.Grant) (confirm *Request) {
	if !k.holder.Accept(g).Any() {
		return nil
	}
	return &Request{Peer: g.Giver, Ask: k.holder.Ask(g.Giver, g.Team, parts.Amount{})}
}

// Wants returns by how much tasks of each team lack room.
func (k *Keeper) Wants() map[string]parts.Amount { return k.holder.Wants() }

// Lacks reports whether a team lacks room, or others still leave parts to one
// that lacks room no more, or a changed limit isn't in force here yet.
func (k *Keeper) Lacks() bool {
	if len(k.holder.Wants()) > 0 {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	for team, limit := range k.limits {
		if seen, over := k.holder.Seen(team); over || seen != limit || k.holder.HasStaleRequest(team) {
			return true
		}
	}
	return false
}

// Changed reports whether a limit has changed since it was called last.
func (k *Keeper) Changed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	fresh := k.fresh
	k.fresh = false
	return fresh
}

// Settle brings parts into line with the platform: those of teams that lack
// room, whose limit has changed or is exceeded, or that weren't settled for
// half a minute.
func (k *Keeper) Settle(ctx context.Context, t parts.Table) error {
	var failed error
	for team, limit := range k.due() {
		if err := k.holder.Settle(ctx, t, team, limit.Most.Div(spareParts)); err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		k.settled(team)
	}
	return failed
}

// settled notes a settlement. A team that still lacks room is at its limit,
// so the pause before the next one doubles.
func (k *Keeper) settled(team string) {
	lacks := k.holder.Lacks(team)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.last[team] = k.timer.Now()
	if !lacks {
		delete(k.pause, team)
		return
	}
	k.pause[team] = min(max(2*k.pause[team], settlePause), settlePeriod)
}

// due returns the limits of the teams that are to be settled now.
func (k *Keeper) due() map[string]parts.Bound {
	wants, now := k.holder.Wants(), k.timer.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	due := make(map[string]parts.Bound)
	for team, limit := range k.limits {
		last, ok := k.last[team]
		wait := settlePeriod
		seen, over := k.holder.Seen(team)
		switch {
		case over, seen != limit, k.holder.HasStaleRequest(team):
			wait = settlePause
		case wants[team].Any():
			wait = k.pause[team]
		}
		if !ok || now.Sub(last) >= wait {
			due[team] = limit
		}
	}
	return due
}

// Publish writes the limits in force to the platform and reports whether all
// are accepted, that is whether the parts handed out fit under them. One
// process does it for each published configuration.
func (k *Keeper) Publish(ctx context.Context, t parts.Table, zones []string) (accepted bool, err error) {
	k.mu.Lock()
	limits := k.limits
	k.mu.Unlock()
	accepted = true
	for team, limit := range limits {
		ok, err := parts.SetLimit(ctx, t, team, limit, zones)
		if err != nil {
			return false, err
		}
		accepted = accepted && ok
	}
	return accepted, nil
}

// Bury gives the parts of a dead placer free; see parts.Bury.
func (k *Keeper) Bury(ctx context.Context, t parts.Table, dead string, living []string) error {
	k.mu.Lock()
	limits := k.limits
	k.mu.Unlock()
	var failed error
	for team := range limits {
		failed = errors.Join(failed, parts.RemoveHolder(ctx, t, team, k.zone, dead, living))
	}
	return failed
}
