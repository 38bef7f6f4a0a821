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

// All see a change within the time that the full mesh took.
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
					continue // The one with losses is the harder one.
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

// A member that was called dead refutes it when it wakes, and a cut that ends
// leaves one list.
func TestReturnsAreKnown(t *testing.T) {
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

// Whoever hears of a death learns since when the member has surely not run:
// the same time for all, no earlier than its death and at most one lapse later.
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

// A process that was itself suspended, too briefly to notice, has missed a
// heartbeat. It doesn't count that as silence of one that ran on until later.
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

// Two that can't reach one another are told by others that both live.
func TestOneLostPathKillsNobody(t *testing.T) {
	for size, n := range sizes {
		t.Run(size, func(t *testing.T) {
			is := is.New(t)
			w := newNetwork(n)
			w.run(settle, nil)
			w.pair = [2]string{"p01", "p02"}
			w.run(2*settle, func() {
				if !w.agree() {
					t.Fatal("a member that lives was called dead at ", w.now)
				}
			})
			is.Equal(w.nodes[2].Self().Turn, uint64(0))
		})
	}
}

// The host list's word that a member leaves counts until the list is silent
// on it, whatever the member says.
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

// A list that missed word of a return is repaired by comparison.
func TestListsAreCompared(t *testing.T) {
	is := is.New(t)
	w := newNetwork(22)
	w.run(settle, nil)
	w.nodes[3].known["p10"].alive = false
	is.True(w.until(time.Minute, w.agree) <= 2*digestRounds*testPeriod)
}

// Under any pauses and deaths nobody is called dead that always ran, nobody
// counts as silent for longer than since its last heartbeat, and all agree in the end.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newNetwork(rapid.IntRange(2, 30).Draw(t, "size"))
		w.run(settle, nil)
		cut := false
		check := func() {
			for _, c := range w.nodes {
				for _, b := range w.nodes {
					if silent := b.Silent(c.Self().Name); b != c && !cut && w.loss == 0 && b.runs() && silent > 0 && (c.ran < 0 || silent > w.now-c.ran+testPeriod) {
						t.Fatalf("%s counts %s as silent for %v, it ran until %v of %v", b.Self().Name, c.Self().Name, silent, c.ran, w.now)
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

func each(w *network, stride int, f func(n *node)) {
	for i := 0; i < len(w.nodes); i += stride {
		f(w.nodes[i])
	}
}
