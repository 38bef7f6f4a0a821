package roster

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
	"sync/atomic"
	"time"
)

const (
	testPeriod = 500 * time.Millisecond
	testStep   = 10 * time.Millisecond
)

var errLost = errors.New("lost")

// network is a simulated network of members in manual time.
type network struct {
	now     time.Duration
	nodes   []*node
	joined  int            // processes started by join so far, including dead ones
	group   map[string]int // partition by name; members of different partitions can't communicate
	cutPair [2]string      // two members that can't communicate
	loss    uint64         // percentage of messages that are lost, and of messages that arrive twice
	calls   atomic.Int64
}

// node is a member of a network, and the Caller of its Roster.
type node struct {
	*Roster
	net         *network
	ranUntil    time.Duration // until when it has run without a pause, below 0 if it was never paused
	pausedUntil time.Duration // until when it is suspended
	dead        bool
	next        time.Duration // when its next regular round is due
}

// Boot implements Clock.
func (w *network) Boot() time.Duration { return w.now + time.Hour }

func newNetwork(size int) *network {
	w := &network{group: make(map[string]int)}
	for range size {
		w.join(1)
	}
	return w
}

// join starts another process. All processes know each other from settings.
func (w *network) join(epoch uint64) *node {
	n := w.newNode(w.joined, epoch)
	w.joined++
	w.nodes = append(w.nodes, n)
	for _, o := range w.nodes {
		o.Found(n.Self())
		n.Found(o.Self())
	}
	return n
}

func (w *network) newNode(i int, epoch uint64) *node {
	name := fmt.Sprintf("p%02d", i)
	return &node{Roster: New(Member{Name: name, Link: name, Epoch: epoch}, w), net: w, ranUntil: -1}
}

func (w *network) restart(i int) {
	n := w.newNode(i, w.nodes[i].Self().Epoch+1)
	w.nodes[i] = n
	for _, o := range w.nodes {
		n.Found(o.Self())
	}
}

func (n *node) runs() bool { return !n.dead && n.net.now >= n.pausedUntil }

func (n *node) pause(d time.Duration) {
	if n.runs() {
		n.ranUntil = n.net.now
	}
	n.pausedUntil = max(n.pausedUntil, n.net.now+d)
}

// Call implements Caller.
func (n *node) Call(_ context.Context, address, _ string, in, out any) error {
	w := n.net
	w.calls.Add(1)
	i := slices.IndexFunc(w.nodes, func(o *node) bool { return o.Self().Link == address })
	if i < 0 {
		return errLost
	}
	to := w.nodes[i]
	draw := w.draw(n.Self().Name, address)
	if !to.runs() || !w.connected(n.Self().Name, address) || draw < w.loss {
		return errLost
	}
	a := to.serve(in.(*heartbeat))
	if 100-draw <= w.loss {
		a = to.serve(in.(*heartbeat))
	}
	if w.draw(address, n.Self().Name) < w.loss {
		return errLost
	}
	*out.(*answer) = *a
	return nil
}

func (w *network) connected(a, b string) bool {
	return w.group[a] == w.group[b] && w.cutPair != [2]string{a, b} && w.cutPair != [2]string{b, a}
}

// draw returns a pseudo-random number below 100 that depends on the time and
// both members.
func (w *network) draw(from, to string) uint64 {
	if w.loss == 0 {
		return 50
	}
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, from, to, w.now)
	return h.Sum64() >> 7 % 100
}

// run advances the time by d and calls check after each step.
func (w *network) run(d time.Duration, check func()) {
	for end := w.now + d; w.now < end; w.now += testStep {
		for _, n := range w.nodes {
			n.mu.Lock()
			quick := n.urgentLocked(w.Boot()) && w.Boot()-n.lastRound >= testPeriod/earlyRounds
			n.mu.Unlock()
			if n.runs() && (quick || w.now >= n.next) {
				n.next = w.now + testPeriod
				n.round(context.Background(), n, testPeriod, func(f func()) { f() })
			}
		}
		if check != nil {
			check()
		}
	}
}

// until runs the network until ok returns true or limit has passed, and returns
// how long that took.
func (w *network) until(limit time.Duration, ok func() bool) time.Duration {
	begin := w.now
	for w.now < begin+limit && !ok() {
		w.run(5*testStep, nil)
	}
	return w.now - begin
}

// agree reports whether every running member considers exactly those members
// live that run in its partition and aren't leaving.
func (w *network) agree() bool {
	want := make(map[int][]string)
	for _, n := range w.nodes {
		if m := n.Self(); n.runs() && !m.Leaving {
			want[w.group[m.Name]] = append(want[w.group[m.Name]], m.Name)
		}
	}
	for _, n := range w.nodes {
		if n.runs() && !slices.Equal(n.Names(), want[w.group[n.Self().Name]]) {
			return false
		}
	}
	return true
}
