package roster

import "time"

// heardLocked takes what a member said of itself just now.
func (r *Roster) heardLocked(m Member) bool {
	now := r.clock.Boot()
	e := r.takeLocked(word{Member: m})
	switch {
	case e == nil:
		return false
	case !e.alive:
		e.sign = now // It runs, though others have yet to hear its denial.
		return false
	case m.before(e.member):
		return false
	}
	e.heard, e.direct = now, true
	return true
}

// takeLocked takes word of a member and passes it on if it is new. It returns
// the member's entry, or nil for this process and for unknown members that
// are dead.
func (r *Roster) takeLocked(w word) *entry {
	if w.Name == r.self.Name {
		r.refuteLocked(w)
		return nil
	}
	now := r.clock.Boot()
	e := r.known[w.Name]
	if e == nil || !e.met {
		return r.meetLocked(e, w, now)
	}
	newer := e.member.before(w.Member)
	switch {
	case newer:
		e.member, e.watch = w.Member, now
	case w.before(e.member), !e.alive:
		return e
	case w.Dead:
	case w.Leaving && !e.member.Leaving:
		e.member.Leaving = true
	default:
		return e
	}
	if w.Dead && (newer || e.alive) {
		e.sign = now - w.Silent
	}
	e.alive = !w.Dead
	r.spreadLocked(e)
	return e
}

// meetLocked takes the first word of a member; e is its entry if it was found
// before. Dead members that aren't known needn't be. A late word of one that was
// forgotten brings its death back, so that whoever believes it is told.
func (r *Roster) meetLocked(e *entry, w word, now time.Duration) *entry {
	if w.Dead {
		return e
	}
	if e == nil {
		e = &entry{found: now}
		r.known[w.Name] = e
	}
	e.member, e.met, e.alive, e.watch = w.Member, true, true, now
	if f, ok := r.former[w.Name]; ok && !f.member.before(w.Member) {
		e.member, e.alive, e.sign = f.member, false, f.sign
	}
	delete(r.former, w.Name)
	r.spreadLocked(e)
	return e
}

// refuteLocked raises this process's turn if others call it dead.
func (r *Roster) refuteLocked(w word) {
	if w.Dead && w.Epoch == r.self.Epoch && w.Turn >= r.self.Turn {
		r.self.Turn = w.Turn + 1
		r.freshLocked()
	}
}

// spreadLocked passes word of a member on in the next messages.
func (r *Roster) spreadLocked(e *entry) {
	e.sends = wordSends
	r.freshLocked()
}

// freshLocked lets the next round begin early.
func (r *Roster) freshLocked() {
	r.fresh = true
	if r.wake != nil {
		r.wake()
	}
}
