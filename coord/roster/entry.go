package roster

import "time"

// entry is the state of another member. All times are readings of the roster's
// clock.
type entry struct {
	member         Member
	seen           bool          // a heartbeat of the member, or an update about it, was received
	alive          bool          // it has been seen and not been declared dead since
	lastHeard      time.Duration // when its last heartbeat was received
	heardDirectly  bool          // lastHeard is set
	watchedSince   time.Duration // when the current series of heartbeats to it began, or later: when another member last heard from it
	watched        bool          // it is sent a heartbeat in each round
	lastHelped     time.Duration // when another member last answered a query about it
	downSince      time.Duration // if not alive: since when it has certainly not run
	lastListed     time.Duration // when settings or the host list last named it, or it was first seen
	leavingUntil   time.Duration // until when it is leaving according to the host list
	lastProbed     time.Duration // if not alive: when it was last sent a heartbeat
	callsWhileDown int           // number of heartbeats sent to it while it wasn't alive
	inFlight       bool          // a heartbeat to it is unanswered
	sendsLeft      int           // number of messages that still carry the update about it
}

// silence returns how long a member that is sent a heartbeat in each round has
// been silent.
func (e *entry) silence(now time.Duration) time.Duration {
	return now - max(e.lastHeard, e.watchedSince)
}

// leaving reports whether the member is leaving, according to itself or to the
// host list.
func (e *entry) leaving(now time.Duration) bool {
	return e.member.Leaving || (e.leavingUntil > 0 && now < e.leavingUntil)
}

// update returns the update that is spread about the member.
func (e *entry) update(now time.Duration) update {
	u := update{Member: e.member, Dead: !e.alive}
	if u.Dead {
		u.Silent = now - e.downSince
	}
	return u
}

// described returns the member, with Leaving also set if the host list says so.
func (e *entry) described(now time.Duration) Member {
	m := e.member
	m.Leaving = e.leaving(now)
	return m
}
