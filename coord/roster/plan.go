package roster

import (
	"slices"
	"strings"
	"time"
)

const (
	// earlyRounds is the number of rounds in a period while there are updates to
	// spread or a member is silent.
	earlyRounds = 5
	// maxMeshPeers is the number of known members up to which each member sends
	// heartbeats to all others.
	maxMeshPeers = watchers
	// joinCalls is how often a listed member that hasn't been seen yet is called
	// with priority.
	joinCalls = 2
	// digestRounds is the number of rounds from one comparison of member lists to
	// the next.
	digestRounds = 8

	// The silence after which this process reacts, in eighths of the lapse. The
	// values rise, so that queries about a silent member can be answered before
	// the process counts as isolated or declares the member dead.
	suspectEighths  = 4 // other members are queried about the silent member
	isolatedEighths = 5 // without answers to these queries, the process counts as isolated
	deadEighths     = 6 // the silent member is declared dead at the earliest
	lapseEighths    = 8 // the whole lapse
)

// call is one heartbeat of a round.
type call struct {
	to Member
	heartbeat
}

// suspectAfter returns the silence after which other members are queried about a
// member.
func (r *Roster) suspectAfter() time.Duration { return r.lapse * suspectEighths / lapseEighths }

// deadAfter returns the silence after which a member is declared dead: the lapse
// less one period, so that the update can reach all members within the lapse, but
// no less than deadEighths.
func (r *Roster) deadAfter(period time.Duration) time.Duration {
	return max(r.lapse-period, r.lapse*deadEighths/lapseEighths)
}

// plan begins a round: it declares members dead that have been silent for too
// long, and returns the heartbeats to send.
func (r *Roster) plan(period time.Duration) []call {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Boot()
	paused := now-r.lastRound > r.suspectAfter()
	r.lastRound, r.hasNews = now, false
	r.rounds++
	r.forgetLocked()
	targets := r.targetsLocked(now)
	for name, e := range r.known {
		called := slices.Contains(targets, name)
		if called && (!e.watched || paused) {
			e.watchedSince = now
		}
		e.watched = called
		if called && e.alive && e.silence(now) >= r.deadAfter(period) {
			e.alive, e.downSince = false, now // It may have run after its last heartbeat.
			r.gossipLocked(e)
		}
	}
	return r.callsLocked(targets, now)
}

// callsLocked returns a heartbeat for each target, for each member that is
// queried about another, and for the member with which lists are compared.
func (r *Roster) callsLocked(targets []string, now time.Duration) []call {
	asked := make(map[string][]string)
	for _, name := range targets {
		asked[name] = nil
	}
	ring := r.ringLocked()
	for _, name := range targets {
		if e := r.known[name]; e.alive && e.silence(now) >= r.suspectAfter() {
			for _, helper := range ring.watchersOf(name) {
				if helper != r.self.Name {
					asked[helper] = append(asked[helper], name)
				}
			}
		}
	}
	digestPeer := r.digestPeerLocked(ring)
	if _, ok := asked[digestPeer]; !ok && digestPeer != "" {
		asked[digestPeer] = nil
	}
	var calls []call
	for name, about := range asked {
		e := r.known[name]
		if e.inFlight {
			continue
		}
		e.inFlight = true
		slices.Sort(about)
		c := call{to: e.member, heartbeat: heartbeat{Self: r.self, Asked: about}}
		if name == digestPeer {
			c.Digest = r.digestLocked()
		}
		calls = append(calls, c)
	}
	slices.SortFunc(calls, func(a, b call) int { return strings.Compare(a.to.Name, b.to.Name) })
	for i := range calls {
		calls[i].News = r.nextUpdatesLocked(now)
	}
	return calls
}

// targetsLocked returns the members that are sent a heartbeat in this round. In a
// small zone that is all members. Otherwise it is those that this process
// watches, new ones, those that haven't answered since their first heartbeat, and
// one of the dead ones.
func (r *Roster) targetsLocked(now time.Duration) []string {
	var out []string
	all := len(r.known) <= maxMeshPeers || r.isolatedLocked(now)
	downName := ""
	for name, e := range r.known {
		switch {
		case all, !e.seen && e.callsWhileDown < joinCalls, e.alive && e.watched && e.lastHeard < e.watchedSince:
			out = append(out, name)
		case !e.alive && (downName == "" || e.lastProbed < r.known[downName].lastProbed || (e.lastProbed == r.known[downName].lastProbed && name < downName)):
			downName = name
		}
	}
	if downName != "" {
		out = append(out, downName)
	}
	if !all {
		out = append(out, r.ringLocked().watchedBy(r.self.Name)...)
		slices.Sort(out)
		out = slices.Compact(out)
	}
	for _, name := range out {
		if e := r.known[name]; !e.alive {
			e.lastProbed = now
			e.callsWhileDown++
		}
	}
	return out
}

// isolatedLocked reports whether a watched member has been silent for
// isolatedEighths of the lapse, and no other member has answered a query about it
// since it became suspect. Then either many members have died at once or this
// process is partitioned, and plan sends heartbeats to all known members.
func (r *Roster) isolatedLocked(now time.Duration) bool {
	for _, e := range r.known {
		silence := e.silence(now)
		if e.alive && e.watched && silence >= r.lapse*isolatedEighths/lapseEighths && now-e.lastHelped > silence-r.suspectAfter() {
			return true
		}
	}
	return false
}

// digestPeerLocked returns the member with which this round compares lists, or an
// empty name.
func (r *Roster) digestPeerLocked(ring ring) string {
	if r.rounds%digestRounds != 0 || len(ring) < 2 {
		return ""
	}
	i, _ := slices.BinarySearch(ring, r.self.Name)
	step := 1 + int(r.rounds/digestRounds%uint64(len(ring)-1))
	return ring[(i+step)%len(ring)]
}

// ringLocked returns the ring of live members, including this process.
func (r *Roster) ringLocked() ring {
	out := ring{r.self.Name}
	for name, e := range r.known {
		if e.alive {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// urgentLocked reports whether the next round should begin early.
func (r *Roster) urgentLocked(now time.Duration) bool {
	if r.hasNews {
		return true
	}
	for _, e := range r.known {
		if e.sendsLeft > updateSends/2 || (e.alive && e.watched && e.silence(now) >= r.suspectAfter()) {
			return true
		}
	}
	return false
}
