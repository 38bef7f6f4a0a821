package limit

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/parts"
	"github.com/balsamford/balsamford/coord/timer"
)

// settlePeriod is the maximum time between two settlements of a team. With this
// period, 200 placers and 47 teams cause 313 reads of the table per second while
// no part moves.
const settlePeriod = 30 * time.Second

// minSettleBackoff is the initial backoff after a settlement that left a team
// without enough room, and the fixed interval while a lowered limit waits for
// parts to be returned.
const minSettleBackoff = time.Second

// spareDivisor sets the spare that a placer holds beyond its running tasks:
// 1/spareDivisor of the limit.
const spareDivisor = 64

// Keeper implements sched.Limit. All methods may be called concurrently. Only
// Settle, ReleaseDead and Publish call the platform.
type Keeper struct {
	zone   string
	timer  *timer.Service
	holder *parts.Holder

	mu           sync.Mutex // guards the fields below
	limits       map[string]parts.Bound
	settledAt    map[string]time.Time     // last settlement by team
	backoff      map[string]time.Duration // by team; set while the team lacks room after a settlement
	peerTurn     int                      // round-robin counter over the peers
	limitChanged bool                     // since the last call of Changed
}

// New returns a keeper that holds no parts. A name must never be reused, not
// even by a restarted process.
func New(name, zone string, t *timer.Service) *Keeper {
	k := &Keeper{zone: zone, timer: t, settledAt: make(map[string]time.Time), backoff: make(map[string]time.Duration), holder: parts.New(name, zone, parts.WithTimer(t))}
	k.holder.Limit(nil)
	return k
}

// Configure replaces the limits. Teams that aren't in limits are unlimited.
func (k *Keeper) Configure(limits map[string]parts.Bound) {
	teams := make(map[string]parts.Dims, len(limits))
	for team, limit := range limits {
		teams[team] = limit.Dims
	}
	k.mu.Lock()
	for team, limit := range limits {
		if old, ok := k.limits[team]; !ok || old != limit {
			delete(k.settledAt, team)
			k.limitChanged = true
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

// Transfer implements sched.Limit.
func (k *Keeper) Transfer(team string, n parts.Amount, newOwner string) {
	k.holder.Pass(team, n, newOwner)
}

// Request is a message to send to one peer.
type Request struct {
	Peer string
	Ask  parts.Ask
}

// Asks returns the requests to send now: for each team that lacks room, one Ask
// to the next peer in round-robin order.
func (k *Keeper) Asks(peers []string) []Request {
	if len(peers) == 0 {
		return nil
	}
	k.mu.Lock()
	k.peerTurn++
	peer := peers[k.peerTurn%len(peers)]
	k.mu.Unlock()
	var out []Request
	for team, n := range k.holder.Wants() {
		out = append(out, Request{Peer: peer, Ask: k.holder.Ask(peer, team, n)})
	}
	return out
}

// Serve handles a peer's Ask and returns the response.
func (k *Keeper) Serve(a parts.Ask) parts.Grant { return k.holder.Serve(a) }

// Accept handles a peer's response. If it grants a part, the caller must send
// confirm to that peer; otherwise confirm is nil.
func (k *Keeper) Accept(g parts.Grant) (confirm *Request) {
	if !k.holder.Accept(g).Any() {
		return nil
	}
	return &Request{Peer: g.Giver, Ask: k.holder.Ask(g.Giver, g.Team, parts.Amount{})}
}

// Wants returns the missing amount for each team that lacks room.
func (k *Keeper) Wants() map[string]parts.Amount { return k.holder.Wants() }

// Lacks reports whether a team lacks room, whether other placers still leave
// parts to a team that no longer lacks room, or whether a changed limit isn't in
// force here yet.
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

// Changed reports whether a limit has changed since the last call of Changed.
func (k *Keeper) Changed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	changed := k.limitChanged
	k.limitChanged = false
	return changed
}

// Settle reconciles the parts held with the platform for all teams that are due:
// teams that lack room, whose limit has changed or is exceeded, or that were not
// settled for settlePeriod. It returns the joined errors of all teams that
// failed.
func (k *Keeper) Settle(ctx context.Context, t parts.Table) error {
	var failed error
	for team, limit := range k.due() {
		if err := k.holder.Settle(ctx, t, team, limit.Most.Div(spareDivisor)); err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		k.recordSettled(team)
	}
	return failed
}

// recordSettled records a settlement. A team that still lacks room is at its
// limit, so its backoff doubles.
func (k *Keeper) recordSettled(team string) {
	lacks := k.holder.Lacks(team)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.settledAt[team] = k.timer.Now()
	if !lacks {
		delete(k.backoff, team)
		return
	}
	k.backoff[team] = min(max(2*k.backoff[team], minSettleBackoff), settlePeriod)
}

// due returns the limits of the teams to settle now.
func (k *Keeper) due() map[string]parts.Bound {
	wants, now := k.holder.Wants(), k.timer.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	due := make(map[string]parts.Bound)
	for team, limit := range k.limits {
		last, ok := k.settledAt[team]
		wait := settlePeriod
		seen, over := k.holder.Seen(team)
		switch {
		case over, seen != limit, k.holder.HasStaleRequest(team):
			wait = minSettleBackoff
		case wants[team].Any():
			wait = k.backoff[team]
		}
		if !ok || now.Sub(last) >= wait {
			due[team] = limit
		}
	}
	return due
}

// Publish writes the current limits to the platform. It reports whether all are
// accepted, which means that no more than the limit is handed out in parts. One
// process calls it for each published configuration.
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

// ReleaseDead frees the parts of a dead placer. live has the names of all live
// placers of the zone. See parts.RemoveHolder.
func (k *Keeper) ReleaseDead(ctx context.Context, t parts.Table, dead string, live []string) error {
	k.mu.Lock()
	limits := k.limits
	k.mu.Unlock()
	var failed error
	for team := range limits {
		failed = errors.Join(failed, parts.RemoveHolder(ctx, t, team, k.zone, dead, live))
	}
	return failed
}
