package roster

import "time"

// heartbeatLocked merges a member's heartbeat and reports whether it counts. One of
// an earlier process of that name doesn't, nor one of a member that has been
// declared dead and hasn't refuted it yet.
func (r *Roster) heartbeatLocked(m Member) bool {
	now := r.clock.Boot()
	e := r.mergeLocked(update{Member: m})
	switch {
	case e == nil:
		return false
	case !e.alive:
		e.downSince = now // It runs, but has to raise its turn before it counts as alive.
		return false
	case m.before(e.member):
		return false
	}
	e.lastHeard, e.heardDirectly = now, true
	return true
}

// mergeLocked merges an update about a member and spreads it further if it is new.
// It returns the member's entry, or nil for this process and for unknown members
// that are dead.
func (r *Roster) mergeLocked(u update) *entry {
	if u.Name == r.self.Name {
		r.refuteLocked(u)
		return nil
	}
	now := r.clock.Boot()
	e := r.known[u.Name]
	if e == nil || !e.seen {
		return r.addLocked(e, u, now)
	}
	newer := e.member.before(u.Member)
	switch {
	case newer:
		e.member, e.watchedSince = u.Member, now
	case u.before(e.member), !e.alive:
		return e
	case u.Dead:
	case u.Leaving && !e.member.Leaving:
		e.member.Leaving = true
	default:
		return e
	}
	if u.Dead && (newer || e.alive) {
		e.downSince = now - u.Silent
	}
	e.alive = !u.Dead
	r.gossipLocked(e)
	return e
}

// addLocked merges the first update about a member; e is its entry if settings or
// the host list named it before. An update about an unknown dead member is
// ignored. An old update about a forgotten member restores the member as dead, so
// that the correction spreads to members that believe the update.
func (r *Roster) addLocked(e *entry, u update, now time.Duration) *entry {
	if u.Dead {
		return e
	}
	if e == nil {
		e = &entry{lastListed: now}
		r.known[u.Name] = e
	}
	e.member, e.seen, e.alive, e.watchedSince = u.Member, true, true, now
	if f, ok := r.forgotten[u.Name]; ok && !f.member.before(u.Member) {
		e.member, e.alive, e.downSince = f.member, false, f.downSince
	}
	delete(r.forgotten, u.Name)
	r.gossipLocked(e)
	return e
}

// refuteLocked raises this process's turn if an update declares it dead.
func (r *Roster) refuteLocked(u update) {
	if u.Dead && u.Epoch == r.self.Epoch && u.Turn >= r.self.Turn {
		r.self.Turn = u.Turn + 1
		r.wakeLocked()
	}
}

// gossipLocked puts an update about a member into the next heartbeats.
func (r *Roster) gossipLocked(e *entry) {
	e.sendsLeft = updateSends
	r.wakeLocked()
}

// wakeLocked makes the next round begin early.
func (r *Roster) wakeLocked() {
	r.hasNews = true
	if r.wake != nil {
		r.wake()
	}
}
