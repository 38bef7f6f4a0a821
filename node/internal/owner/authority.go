package owner

import (
	"time"

	"go.uber.org/zap"
)

const (
	// minAuthority is the least authority of a write: the time after the write during
	// which the owner may start runs. It covers two heartbeats and a retried write.
	minAuthority = 450 * time.Millisecond
	// maxAuthority bounds the authority while the store is slow, since executors'
	// leases have to outlast a takeover.
	maxAuthority = 2 * time.Second
	// authorityWrites is how many writes of typical duration the authority covers in
	// addition to two heartbeats.
	authorityWrites = 3
	// boardAuthority is how long runs may start after this host's board was last
	// confirmed to show no other owner. A host that takes over from a silent owner
	// starts no run for as long, since that owner may not have seen the takeover yet.
	boardAuthority = 150 * time.Millisecond
	// maxProofAge is the greatest age at which an executor's response still shows that
	// the executor follows no other owner.
	maxProofAge = 1200 * time.Millisecond
)

// authorityFor returns the authority of the next write, given the typical duration of
// a write.
func authorityFor(typical time.Duration) time.Duration {
	return min(maxAuthority, max(minAuthority, 2*heartbeatInterval+authorityWrites*typical))
}

// limitAuthority lowers the authority to that of a write that is about to be sent. The
// write's outcome may stay unknown, and other hosts then go by its authority. The
// term's mu is held.
func (t *term) limitAuthority(authority time.Duration) { t.authority = min(t.authority, authority) }

// mayStart reports whether runs may start. The term's mu is held.
func (t *term) mayStart() bool {
	return !t.resigning && !t.frozen && t.owner.clock.Boot() >= t.noStartUntil && t.certain() && !t.evacuationsOutdated()
}

// certain reports whether this host certainly still owns the cell. It does for the authority
// after the last write, and for boardAuthority after the board last confirmed ownership. Later
// it does only if every executor has responded to this owner after the authority ended and
// within maxProofAge: a successor may have reached an executor that this host can't reach, and
// started the same tasks there. Executors that had been silent for longer than the authority
// at the last write don't count. The term's mu is held.
func (t *term) certain() bool {
	now := t.owner.clock.Boot()
	if now-t.writeConfirmed <= t.authority || now-t.owner.boardFollower.SyncedBoot() <= boardAuthority {
		return true
	}
	since := max(t.writeConfirmed+t.authority, now-maxProofAge)
	for _, sess := range t.sessions {
		if sess.lastResponse < since && (!sess.silent || sess.lastResponse > t.writeConfirmed-t.authority) {
			return false
		}
	}
	return len(t.sessions) > 0
}

// setPaused pauses or resumes the start of runs. The term's mu is held.
func (t *term) setPaused(paused bool) {
	if paused != t.paused {
		t.paused = paused
		silent := 0
		for _, sess := range t.sessions {
			if sess.silent {
				silent++
			}
		}
		t.owner.logger.Info("starts", zap.Bool("paused", paused), zap.Int64("epoch", t.epoch), zap.Duration("confirmed", t.owner.clock.Boot()-t.writeConfirmed),
			zap.Int("executors", len(t.sessions)), zap.Int("silent", silent), zap.Bool("outdated", t.evacuationsOutdated()))
		if paused {
			t.requestPolls()
		}
	}
	t.plan.Pause(paused)
}

// requestPolls polls all responding executors at once, to find out whether they still
// follow this owner. Their pending long polls would show it up to a second later. The
// term's mu is held.
func (t *term) requestPolls() {
	if t.resigning || t.owner.clock.Boot() < t.noStartUntil {
		return // No run may start, whatever the responses are.
	}
	for _, sess := range t.sessions {
		if !sess.silent {
			signal(sess.pollRequested)
		}
	}
}

// unconfirmed reports whether the last confirmation of ownership is older than the
// authority, so that executors have to be polled more often. The term's mu is held.
func (t *term) unconfirmed() bool { return t.owner.clock.Boot()-t.lastConfirmed() > t.authority }

// lastConfirmed returns the boot time at which ownership was last known to hold, by a
// write or by the board. The term's mu is held.
func (t *term) lastConfirmed() time.Duration {
	return max(t.writeConfirmed, t.owner.boardFollower.SyncedBoot())
}
