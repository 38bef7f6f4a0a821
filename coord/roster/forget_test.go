package roster

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const testMemory = 3 * time.Second

// tell has the host list name these nodes to all that run.
func (w *network) tell(listed []*node) {
	for _, n := range w.nodes {
		n.memory = testMemory
		for _, o := range listed {
			n.Found(o.Self())
		}
	}
}

// Names that come and go don't stay, whoever sleeps through their death and
// speaks of them as alive later: they are known for as long as they live or the
// list names them, who has forgotten one never counts it as alive again, all agree
// in the end, and nobody counts as silent for longer than it has been dead.
func TestTheGoneAreForgotten(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNetwork(rapid.IntRange(3, 6).Draw(t, "size"))
		w.run(settle, nil)
		cut := false
		var sleeper *node
		died := make(map[string]time.Duration)
		forgotten := make(map[[2]string]bool) // who, whom
		check := func() {
			for _, n := range w.nodes {
				for name := range n.former {
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
		pass := func(d time.Duration) {
			for end := w.now + d; w.now < end; {
				w.tell(w.nodes)
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
			pass(time.Duration(rapid.IntRange(0, 6).Draw(t, "seconds")) * time.Second)
		}
		if sleeper != nil {
			sleeper.paused = w.now
		}
		clear(w.group)
		pass(4 * testMemory)
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

// One that was cut off until it was forgotten comes back by its own word, one
// that is dead doesn't by anybody's.
func TestLateWordOfTheForgotten(t *testing.T) {
	is := is.New(t)
	w := newNetwork(5)
	w.run(settle, nil)
	sleeper, cut, dead := w.nodes[0], w.nodes[1], w.nodes[2]
	sleeper.pause(time.Hour)
	w.group[cut.Self().Name] = 1
	dead.dead = true
	for range 15 {
		w.tell(w.nodes[3:])
		w.run(time.Second, nil)
	}
	for _, n := range w.nodes[3:] {
		is.Equal(len(n.known), 1)
		is.Equal(len(n.former), 3)
	}
	clear(w.group)
	sleeper.paused = w.now
	w.run(2*defaultLapse, func() {
		for _, n := range w.nodes[3:] {
			_, alive := n.Alive(dead.Self().Name)
			is.True(!alive)
		}
	})
	is.True(w.agree())
	is.Equal(w.nodes[3].Names(), []string{"p00", "p01", "p03", "p04"})
}

// The oldest go, and what is told of their silence stays true.
func TestFormerMembersAreBounded(t *testing.T) {
	is := is.New(t)
	w := newNetwork(1)
	r := w.nodes[0].Roster
	for i := range maxFormer + 5 {
		r.formerLocked(string(rune('a'+i)), former{sign: w.Boot() + time.Duration(i)*time.Second})
	}
	is.Equal(len(r.former), maxFormer)
	w.now = time.Hour
	is.Equal(r.Silent("a"), time.Hour-4*time.Second)
}
