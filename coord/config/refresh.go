package config

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamford/balsamford/coord/wire"
)

const (
	// fanout is how many processes ask one process of their zone for the head.
	fanout = 6
	// spareSourcesOfHead is how many peers are asked if neither the platform
	// nor the process's source answers.
	headFallbacks = 3
	// clockStep is the finest step of a clock.
	clockResolution = time.Nanosecond
)

// refresh learns the head once: from the process of its zone that it asks by
// plan, else from the platform, else from other peers.
func (f *Follower) refresh(ctx context.Context) {
	if f.join(ctx) {
		for _, p := range f.nextPeers(headFallbacks) {
			_ = f.joinThroughPeer(ctx, p)
		}
	}
	f.enroll(ctx)
	if parent, ok := f.parent(); ok && f.pull(ctx, parent) == nil {
		if age, ok := f.Age(); ok && age <= f.period/2 {
			return
		}
	}
	if f.read(ctx) == nil {
		return
	}
	for _, p := range f.nextPeers(headFallbacks) {
		_ = f.pull(ctx, p)
	}
}

// read reads the head row. A platform without one is no failure.
func (f *Follower) read(ctx context.Context) error {
	ctx, cancel := f.timeout(ctx, f.period)
	defer cancel()
	held, ok := f.readRoll(ctx)
	f.counts.reads.Inc(1)
	sent := f.timers.Boot()
	head, _, err := readHead(ctx, f.platform)
	if err != nil {
		return err
	}
	f.handleOffer(ctx, offer{head: head, sent: sent, timed: true})
	if ok {
		f.learnRoll(held)
	}
	f.readDrains(ctx)
	return nil
}

// pull asks a peer for its head. The peer's age is counted from before the
// question was sent, so that time spent on the way makes the result older,
// never younger; and it is taken for longer by what the peer's clock may lag.
func (f *Follower) pull(ctx context.Context, p Peer) error {
	ctx, cancel := f.timeout(ctx, f.peerTimeout())
	defer cancel()
	f.counts.pulls.Inc(1)
	f.mu.Lock()
	have := f.rollRead.roll.Number
	f.mu.Unlock()
	sent := f.timers.Boot()
	var out Status
	if err := f.caller.Call(ctx, p.Address, wire.VerbHead, Ask{Roll: have}, &out); err != nil {
		return err
	}
	if out.Read >= 0 {
		f.learnDrains(sent-out.Read, out.Drains)
	}
	f.handleOffer(ctx, offer{head: out.Head, sent: sent - maxAge(out.Age), timed: out.Age >= 0, byAnswers: out.Answered, source: p.Address})
	if out.Roll != nil {
		f.learnRoll(rollRead{roll: *out.Roll, sent: sent - maxAge(out.RollAge)})
	}
	f.learnFinals(out.Finals)
	return nil
}

// aged returns an age that another host's clock has counted, at its longest.
func maxAge(d time.Duration) time.Duration { return d + d/driftDivisor + clockResolution }

// parent returns the process that this one asks for the head. The processes
// of a zone stand in an order that all of them work out alike: the first ones
// read the platform, the others ask those before them.
func (f *Follower) parent() (Peer, bool) {
	if f.caller == nil {
		return Peer{}, false
	}
	zone := f.zonePeers()
	at := slices.IndexFunc(zone, func(p Peer) bool { return p.Name == f.name })
	if at < f.readers {
		return Peer{}, false
	}
	return zone[(at-f.readers)/fanout], true
}

// children returns the processes that ask this one for the head.
func (f *Follower) children() []Peer {
	if f.caller == nil {
		return nil
	}
	zone := f.zonePeers()
	at := slices.IndexFunc(zone, func(p Peer) bool { return p.Name == f.name })
	first := min(f.readers+at*fanout, len(zone))
	return zone[first:min(first+fanout, len(zone))]
}

// zonePeers returns the processes of the zone, this one included, in the
// order of their hashes.
func (f *Follower) zonePeers() []Peer {
	zone := []Peer{{Name: f.name, Zone: f.zone, Address: f.address}}
	for _, p := range f.roster.Peers() {
		if p.Zone == f.zone && p.Name != f.name {
			zone = append(zone, p)
		}
	}
	slices.SortFunc(zone, func(a, b Peer) int {
		x, y := xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)
		if x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(a.Name, b.Name)
	})
	return zone
}

// others returns n peers, different ones each time.
func (f *Follower) nextPeers(n int) []Peer {
	if f.caller == nil {
		return nil
	}
	all := slices.DeleteFunc(slices.Clone(f.roster.Peers()), func(p Peer) bool { return p.Name == f.name })
	if len(all) == 0 {
		return nil
	}
	out := make([]Peer, 0, n)
	first := f.nextPeer.Add(uint64(n))
	for i := range min(n, len(all)) {
		out = append(out, all[(first+uint64(i))%uint64(len(all))])
	}
	return out
}

// patience is how long a peer may take to answer. A process whose source is
// paused has to have read the platform long before its own version lapses.
func (f *Follower) peerTimeout() time.Duration { return f.period / 4 }

// timeout returns a context that ends after d on the follower's timer.
func (f *Follower) timeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	t := f.timers.After(d, cancel)
	return ctx, func() { t.Stop(); cancel() }
}
