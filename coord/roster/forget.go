package roster

import "time"

const (
	// defaultRetention is how long a dead member that is no longer listed is kept.
	defaultRetention = 10 * time.Minute
	// maxForgotten bounds the number of forgotten members whose last state is kept.
	maxForgotten = 256
)

// forgottenMember is the last state of a member that was forgotten. It shows
// that a late update about the member is old.
type forgottenMember struct {
	member    Member        // its last known state
	downSince time.Duration // since when it has certainly not run
}

// forgetLocked forgets dead members that neither settings nor the host list have
// named for the retention time. No member is forgotten while the list can't be
// read: the time is measured up to the latest listing of any member.
func (r *Roster) forgetLocked() {
	for name, e := range r.known {
		if e.alive || e.inFlight || r.lastListing-max(e.lastListed, e.downSince) < r.retention {
			continue
		}
		delete(r.known, name)
		if e.seen {
			r.rememberLocked(name, forgottenMember{member: e.member, downSince: e.downSince})
		} else {
			r.unknownDownSince = max(r.unknownDownSince, e.downSince)
		}
	}
}

// rememberLocked keeps the last state of a forgotten member. If there are too many,
// it drops the one that has been dead the longest.
func (r *Roster) rememberLocked(name string, f forgottenMember) {
	r.forgotten[name] = f
	if len(r.forgotten) <= maxForgotten {
		return
	}
	oldest := name
	for other, o := range r.forgotten {
		if o.downSince < r.forgotten[oldest].downSince {
			oldest = other
		}
	}
	r.unknownDownSince = max(r.unknownDownSince, r.forgotten[oldest].downSince)
	delete(r.forgotten, oldest)
}

// downSinceLocked returns the time since which an unknown member has certainly not
// run.
func (r *Roster) downSinceLocked(name string) time.Duration {
	if f, ok := r.forgotten[name]; ok {
		return f.downSince
	}
	return r.unknownDownSince
}
