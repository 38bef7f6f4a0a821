package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const testMemory = 3 * time.Second

// listHosts makes the host list name the given nodes to all nodes.
func (w *network) listHosts(listed []*node) {
	for _, n := range w.nodes {
		n.retention = testMemory
		for _, o := range listed {
			n.Found(o.Self())
		}
	}
}

// Dead members that are no longer listed are forgotten, even if a member that
// was suspended while they died later spreads that they are alive. A listed
// member is not forgotten; a forgotten member is never considered alive again;
// all members agree in the end; and no member counts as silent for longer than it
// has been dead.
func TestDeadMembersAreForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNetwork(rapid.IntRange(3, 6).Draw(t, "size"))
		w.run(settle, nil)
		cut := false
		var sleeper *node
		died := make(map[string]time.Duration)
		forgotten := make(map[[2]string]bool) // pairs of a member and the one that it has forgotten
		check := func() {
			for _, n := range w.nodes {
				for name := range n.forgotten {
					forgotten[[2]string{n.Self().Name, name}] = true
				}
				for name, at := range died {
					if _, alive := n.Alive(name); alive && forgotten[[2]string{n.Self().Name, name}] {
						t.Fatalf("%s counts %s as alive, which it had forgotten", n.Self().Name, name)
					}
					if !cut && n != sleeper && n.runs() && n.Silent(name) > w.now-at {
						t.Fatalf("%s counts %s as silent for %v, it died %v ago", n.Self().Name, name, n.Silent(name), w.now-at)
					}
				}
			}
		}
		runListed := func(d time.Duration) {
			for end := w.now + d; w.now < end; {
				w.listHosts(w.nodes)
				w.run(time.Second, check)
				for _, n := range w.nodes {
					if len(n.known) < len(w.nodes)-1 {
						t.Fatalf("%s has forgotten one that is listed", n.Self().Name)
					}
				}
			}
		}
		for range rapid.IntRange(1, 3).Draw(t, "changes") {
			i := rapid.IntRange(0, len(w.nodes)-1).Draw(t, "member")
			switch n := w.nodes[i]; rapid.SampledFrom([]string{"replace", "replace", "sleep", "cut"}).Draw(t, "change") {
			case "replace":
				if n != sleeper && n.runs() {
					n.dead = true
					died[n.Self().Name] = w.now
					w.nodes = append(w.nodes[:i], w.nodes[i+1:]...)
					w.join(rapid.Uint64Range(1, 3).Draw(t, "epoch"))
				}
			case "sleep":
				if sleeper == nil {
					sleeper = n
					n.pause(time.Hour)
				}
			case "cut":
				cut = true
				w.group[n.Self().Name] = rapid.IntRange(0, 1).Draw(t, "group")
			}
			runListed(time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds")) * time.Second)
		}
		if sleeper != nil {
			sleeper.pausedUntil = w.now
		}
		clear(w.group)
		runListed(4 * testMemory)
		for _, n := range w.nodes {
			if len(n.known) != len(w.nodes)-1 {
				t.Fatalf("%s knows %d others of %d", n.Self().Name, len(n.known), len(w.nodes)-1)
			}
		}
		if !w.agree() {
			t.Fatal("the members don't agree")
		}
	})
}

// A member that was partitioned until it was forgotten returns by its own
// heartbeat. A dead member doesn't return, whatever other members spread.
func TestLateUpdateAboutForgottenMember(t *testing.T) {
	is := is.New(t)
	w := newNetwork(5)
	w.run(settle, nil)
	sleeper, cut, dead := w.nodes[0], w.nodes[1], w.nodes[2]
	sleeper.pause(time.Hour)
	w.group[cut.Self().Name] = 1
	dead.dead = true
	for range 15 {
		w.listHosts(w.nodes[3:])
		w.run(time.Second, nil)
	}
	for _, n := range w.nodes[3:] {
		is.Equal(len(n.known), 1)
		is.Equal(len(n.forgotten), 3)
	}
	clear(w.group)
	sleeper.pausedUntil = w.now
	w.run(2*defaultLapse, func() {
		for _, n := range w.nodes[3:] {
			_, alive := n.Alive(dead.Self().Name)
			is.True(!alive)
		}
	})
	is.True(w.agree())
	is.Equal(w.nodes[3].Names(), []string{"p00", "p01", "p03", "p04"})
}

// If there are too many forgotten members, the oldest are dropped, and Silent
// still returns a lower bound for them.
func TestForgottenMembersAreBounded(t *testing.T) {
	is := is.New(t)
	w := newNetwork(1)
	r := w.nodes[0].Roster
	for i := range maxForgotten + 5 {
		r.rememberLocked(string(rune('a'+i)), forgottenMember{downSince: w.Boot() + time.Duration(i)*time.Second})
	}
	is.Equal(len(r.forgotten), maxForgotten)
	w.now = time.Hour
	is.Equal(r.Silent("a"), time.Hour-4*time.Second)
}
