package roster

import "time"

const (
	// defaultMemory is for how long one that is gone stays a member.
	defaultMemory = 10 * time.Minute
	// maxFormer bounds how many forgotten members can be told from new ones.
	maxFormer = 256
)

// former is what is left of a member that was forgotten.
type former struct {
	member Member        // as it was last known
	sign   time.Duration // when it was called dead
}

// forgetLocked forgets members that are dead and that neither settings nor the
// host list name any more. While nobody can read the list nobody is forgotten.
func (r *Roster) forgetLocked() {
	for name, e := range r.known {
		if e.alive || e.busy || r.listed-max(e.found, e.sign) < r.memory {
			continue
		}
		delete(r.known, name)
		if e.met {
			r.formerLocked(name, former{member: e.member, sign: e.sign})
		} else {
			r.blank = max(r.blank, e.sign)
		}
	}
}

// formerLocked keeps what is left of a member, in place of the oldest one if there
// are too many.
func (r *Roster) formerLocked(name string, f former) {
	r.former[name] = f
	if len(r.former) <= maxFormer {
		return
	}
	oldest := name
	for other, o := range r.former {
		if o.sign < r.former[oldest].sign {
			oldest = other
		}
	}
	r.blank = max(r.blank, r.former[oldest].sign)
	delete(r.former, oldest)
}

// goneLocked returns since when one that isn't known has surely not run.
func (r *Roster) goneLocked(name string) time.Duration {
	if f, ok := r.former[name]; ok {
		return f.sign
	}
	return r.blank
}
