package roster

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const settle = 5 * time.Second

var sizes = map[string]int{"4 members": 4, "22 members": 22, "60 members": 60}

func TestMessagesDoNotGrowWithTheZone(t *testing.T) {
	const span, most = 40 * time.Second, 6.5
	for name, size := range sizes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newNetwork(size)
			w.run(settle, nil)
			is.True(w.agree())
			w.calls.Store(0)
			w.run(span, nil)
			each := float64(w.calls.Load()) / float64(size) / span.Seconds()
			t.Logf("%.2f calls a second sent by each member", each)
			is.True(each <= most)
		})
	}
}

// All members learn of a change within the time that a full mesh needed.
func TestChangesAreKnown(t *testing.T) {
	tests := map[string]struct {
		change func(w *network)
		within time.Duration
	}{
		"a death":          {func(w *network) { w.nodes[1].dead = true }, defaultLapse},
		"half die at once": {func(w *network) { each(w, 2, func(n *node) { n.dead = true }) }, 2 * defaultLapse},
		"a pause":          {func(w *network) { w.nodes[1].pause(time.Minute) }, defaultLapse},
		"a leaving": {func(w *network) {
			w.nodes[1].Leave()
			w.nodes[1].Beat(context.Background(), w.nodes[1], testPeriod)
		}, defaultLapse},
		"a leaving, first word lost": {func(w *network) { w.nodes[1].Leave() }, defaultLapse},
		"a joining":                  {func(w *network) { w.join(1) }, defaultLapse},
		"a restart":                  {func(w *network) { w.restart(1); w.run(testStep, nil) }, defaultLapse},
		"a cut in halves":            {func(w *network) { each(w, 2, func(n *node) { w.group[n.Self().Name] = 1 }) }, 2 * defaultLapse},
		"one cut off":                {func(w *network) { w.group["p01"] = 1 }, 2 * defaultLapse},
	}
	for name, tt := range tests {
		for size, n := range sizes {
			for _, loss := range []uint64{0, 10} {
				if n > 22 && loss == 0 {
					continue // The case with message loss is the harder one.
				}
				t.Run(fmt.Sprint(name, ", ", size, ", loss ", loss), func(t *testing.T) {
					is := is.New(t)
					w := newNetwork(n)
					w.run(settle, nil)
					w.loss = loss
					tt.change(w)
					took := w.until(time.Minute, w.agree)
					t.Log(took)
					is.True(took <= tt.within)
					w.run(settle, nil)
					is.True(w.until(time.Minute, w.agree) <= defaultLapse)
				})
			}
		}
	}
}

// A suspended member that was declared dead refutes that when it resumes. When a
// partition heals, all members agree again.
func TestRefutationAndHealedPartition(t *testing.T) {
	for size, n := range sizes {
		t.Run(size, func(t *testing.T) {
			is := is.New(t)
			w := newNetwork(n)
			w.run(settle, nil)
			w.nodes[1].pause(settle)
			w.run(settle, nil)
			is.True(w.until(time.Minute, w.agree) <= defaultLapse)
			is.Equal(w.nodes[1].Self().Turn, uint64(1))
			each(w, 2, func(n *node) { w.group[n.Self().Name] = 1 })
			w.run(settle, nil)
			clear(w.group)
			took := w.until(time.Minute, w.agree)
			t.Log(took)
			is.True(took <= 4*settle)
		})
	}
}

// The update about a death carries the time since which the member hasn't run.
// It is the same for all members, no earlier than the death and at most one lapse
// later.
func TestSilenceIsPassedOn(t *testing.T) {
	is := is.New(t)
	w := newNetwork(22)
	w.run(settle, nil)
	died := w.now
	w.nodes[1].dead = true
	w.until(time.Minute, w.agree)
	first := w.nodes[0].Silent("p01")
	for i, n := range w.nodes {
		is.True(i == 1 || n.Silent("p01") == first)
	}
	is.True(first <= w.now-died && first >= w.now-died-defaultLapse)
}

// A process that was suspended too briefly to notice misses a heartbeat. It must
// not count that time as silence of a member that kept running.
func TestMissedHeartbeatIsNoSilence(t *testing.T) {
	is := is.New(t)
	w := newNetwork(2)
	w.run(settle, nil)
	w.nodes[0].pause(testPeriod)
	w.run(testPeriod+testStep, nil)
	died := w.now
	w.nodes[1].dead = true
	w.run(defaultLapse, func() { is.True(w.nodes[0].Silent("p01") <= w.now-died) })
	is.True(w.nodes[0].Silent("p01") > 0)
}

// If two members can't reach each other, other members confirm that both live.
func TestOneBrokenPathDeclaresNobodyDead(t *testing.T) {
	for size, n := range sizes {
		t.Run(size, func(t *testing.T) {
			is := is.New(t)
			w := newNetwork(n)
			w.run(settle, nil)
			w.cutPair = [2]string{"p01", "p02"}
			w.run(2*settle, func() {
				if !w.agree() {
					t.Fatal("a live member was declared dead at ", w.now)
				}
			})
			is.Equal(w.nodes[2].Self().Turn, uint64(0))
		})
	}
}

// If the host list says that a member is leaving, that holds until one lapse
// after the list last said so, whatever the member says.
func TestListedLeavingCounts(t *testing.T) {
	is := is.New(t)
	w := newNetwork(3)
	w.run(settle, nil)
	n, m := w.nodes[0], w.nodes[1].Self()
	m.Leaving = true
	n.Found(m)
	m.Leaving = false
	n.Found(m)
	w.run(testPeriod, nil)
	is.Equal(n.Names(), []string{"p00", "p02"})
	w.run(settle, nil)
	is.Equal(n.Names(), []string{"p00", "p01", "p02"})
}

// A member list that missed an update is repaired by comparing digests.
func TestListsAreCompared(t *testing.T) {
	is := is.New(t)
	w := newNetwork(22)
	w.run(settle, nil)
	w.nodes[3].known["p10"].alive = false
	is.True(w.until(time.Minute, w.agree) <= 2*digestRounds*testPeriod)
}

// Under any pauses and deaths, a member that always ran is not declared dead, no
// member counts as silent since before it last ran, and all members agree in the
// end.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNetwork(rapid.IntRange(2, 30).Draw(t, "size"))
		w.run(settle, nil)
		cut := false
		check := func() {
			for _, c := range w.nodes {
				for _, b := range w.nodes {
					if silent := b.Silent(c.Self().Name); b != c && !cut && w.loss == 0 && b.runs() && silent > 0 && (c.ranUntil < 0 || silent > w.now-c.ranUntil+testPeriod) {
						t.Fatalf("%s counts %s as silent for %v, it ran until %v of %v", b.Self().Name, c.Self().Name, silent, c.ranUntil, w.now)
					}
				}
			}
		}
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(t, "member")]
			switch rapid.SampledFrom([]string{"kill", "pause", "pause", "cut", "loss"}).Draw(t, "fault") {
			case "kill":
				n.pause(0)
				n.dead = true
			case "pause":
				n.pause(time.Duration(rapid.IntRange(10, 5000).Draw(t, "ms")) * time.Millisecond)
			case "cut":
				cut = true
				w.group[n.Self().Name] = rapid.IntRange(0, 2).Draw(t, "group")
			case "loss":
				w.loss = rapid.Uint64Range(1, 20).Draw(t, "percent")
			}
			w.run(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait"))*time.Millisecond, check)
		}
		clear(w.group)
		w.loss = 0
		w.run(settle, check)
		if took := w.until(time.Minute, w.agree); took >= time.Minute {
			t.Fatal("the members never agree")
		}
	})
}

// each calls f for every stride-th node.
func each(w *network, stride int, f func(n *node)) {
	for i := 0; i < len(w.nodes); i += stride {
		f(w.nodes[i])
	}
}
