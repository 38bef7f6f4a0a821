package roster

import (
	"slices"
	"strings"
	"time"
)

const (
	// quickParts is how many rounds fit into a period while there is news or
	// somebody is silent.
	quickParts = 5
	// meshPeers is up to how many known members each calls all others.
	meshPeers = watchers
	// joinTries is how often each found member is called until it is met.
	joinTries = 2
	// digestRounds is how many rounds lie between two comparisons of lists.
	digestRounds = 8
)

// call is one heartbeat of a round.
type call struct {
	to Member
	message
}

// suspect is from which silence on others are asked about a member.
func (r *Roster) suspect() time.Duration { return r.lapse / 2 }

// dead is from which silence on a member counts as dead. It leaves the word
// some time to reach all within the lapse.
func (r *Roster) dead(period time.Duration) time.Duration {
	return max(r.lapse-period, r.lapse*3/4)
}

// plan begins a round: it calls those dead that have been silent for too long
// and returns the heartbeats to send.
func (r *Roster) plan(period time.Duration) []call {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Boot()
	paused := now-r.last > r.suspect()
	r.last, r.fresh = now, false
	r.rounds++
	r.forgetLocked()
	targets := r.targetsLocked(now)
	for name, e := range r.known {
		called := slices.Contains(targets, name)
		if called && (!e.call || paused) {
			e.watch = now
		}
		e.call = called
		if called && e.alive && e.silence(now) >= r.dead(period) {
			e.alive, e.sign = false, now // It may have lived after it was last heard.
			r.spreadLocked(e)
		}
	}
	return r.callsLocked(targets, now)
}

// callsLocked returns a heartbeat for each target, for each member that is
// asked about another and for one to compare lists with.
func (r *Roster) callsLocked(targets []string, now time.Duration) []call {
	asked := make(map[string][]string)
	for _, name := range targets {
		asked[name] = nil
	}
	ring := r.ringLocked()
	for _, name := range targets {
		if e := r.known[name]; e.alive && e.silence(now) >= r.suspect() {
			for _, helper := range ring.watching(name) {
				if helper != r.self.Name {
					asked[helper] = append(asked[helper], name)
				}
			}
		}
	}
	compared := r.comparedLocked(ring)
	if _, ok := asked[compared]; !ok && compared != "" {
		asked[compared] = nil
	}
	var calls []call
	for name, about := range asked {
		e := r.known[name]
		if e.busy {
			continue
		}
		e.busy = true
		slices.Sort(about)
		c := call{to: e.member, message: message{Self: r.self, Asked: about}}
		if name == compared {
			c.Digest = r.digestLocked()
		}
		calls = append(calls, c)
	}
	slices.SortFunc(calls, func(a, b call) int { return strings.Compare(a.to.Name, b.to.Name) })
	for i := range calls {
		calls[i].News = r.newsLocked(now)
	}
	return calls
}

// targetsLocked returns whom this round calls: all in a small zone, otherwise
// those that this process watches, new ones, those that haven't answered since
// they were first called, and one of those that are lost.
func (r *Roster) targetsLocked(now time.Duration) []string {
	var out []string
	all := len(r.known) <= meshPeers || r.aloneLocked(now)
	lost := ""
	for name, e := range r.known {
		switch {
		case all, !e.met && e.tries < joinTries, e.alive && e.call && e.heard < e.watch:
			out = append(out, name)
		case !e.alive && (lost == "" || e.probed < r.known[lost].probed || (e.probed == r.known[lost].probed && name < lost)):
			lost = name
		}
	}
	if lost != "" {
		out = append(out, lost)
	}
	if !all {
		out = append(out, r.ringLocked().watched(r.self.Name)...)
		slices.Sort(out)
		out = slices.Compact(out)
	}
	for _, name := range out {
		if e := r.known[name]; !e.alive {
			e.probed = now
			e.tries++
		}
	}
	return out
}

// aloneLocked reports whether a member is silent and nobody answers questions
// about it: either many have gone at once or this process is cut off.
func (r *Roster) aloneLocked(now time.Duration) bool {
	for _, e := range r.known {
		silence := e.silence(now)
		if e.alive && e.call && silence >= r.lapse*5/8 && now-e.helped > silence-r.suspect() {
			return true
		}
	}
	return false
}

// comparedLocked returns with whom this round compares lists, if with anybody.
func (r *Roster) comparedLocked(ring ring) string {
	if r.rounds%digestRounds != 0 || len(ring) < 2 {
		return ""
	}
	i, _ := slices.BinarySearch(ring, r.self.Name)
	step := 1 + int(r.rounds/digestRounds%uint64(len(ring)-1))
	return ring[(i+step)%len(ring)]
}

// ringLocked returns the ring of those that live, this process included.
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
	if r.fresh {
		return true
	}
	for _, e := range r.known {
		if e.sends > wordSends/2 || (e.alive && e.call && e.silence(now) >= r.suspect()) {
			return true
		}
	}
	return false
}
