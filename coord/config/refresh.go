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
	// fanout is the number of processes that ask the same process of their zone
	// for the head.
	fanout = 6
	// headFallbacks is the number of peers to ask for the head if neither the
	// platform nor the process's parent replies.
	headFallbacks = 3
	// clockResolution is the smallest step of a clock.
	clockResolution = time.Nanosecond
)

// refresh reads the head: from the parent in its zone if the process has one,
// else from the platform, else from other peers. It reads from
// the platform also if, after the parent's reply, the current version is
// unconfirmed or was confirmed more than half a period ago. It also renews the process's row and its place on the roll.
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

// read reads the head row and, if due, the roll and the drains. A missing head
// row is not an error.
func (f *Follower) read(ctx context.Context) error {
	ctx, cancel := f.timeout(ctx, f.period)
	defer cancel()
	roll, ok := f.readRoll(ctx)
	f.counts.reads.Inc(1)
	sent := f.timers.Boot()
	head, _, err := readHead(ctx, f.platform)
	if err != nil {
		return err
	}
	f.handleOffer(ctx, offer{head: head, sent: sent, timed: true})
	if ok {
		f.learnRoll(roll)
	}
	f.readDrains(ctx)
	return nil
}

// pull asks a peer for its head. The peer's age is subtracted from when the
// request was sent, so that the time in transit makes the result older, never
// newer; and the age is increased by what the peer's clock may run slow.
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
	if out.DrainsAge >= 0 {
		f.learnDrains(sent-out.DrainsAge, out.Drains)
	}
	f.handleOffer(ctx, offer{head: out.Head, sent: sent - maxAge(out.Age), timed: out.Age >= 0, byAnswers: out.Answered, source: p.Address})
	if out.Roll != nil {
		f.learnRoll(rollRead{roll: *out.Roll, sent: sent - maxAge(out.RollAge)})
	}
	f.learnFinals(out.Finals)
	return nil
}

// maxAge returns the longest duration, on this host's clock, of an age measured
// by another host's clock.
func maxAge(d time.Duration) time.Duration { return d + d/driftDivisor + clockResolution }

// parent returns the process that this one asks for the head. All processes of
// a zone compute the same order of the zone: the first ones read the platform,
// and each later one asks a process before it.
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

// children returns the processes whose parent is this one.
func (f *Follower) children() []Peer {
	if f.caller == nil {
		return nil
	}
	zone := f.zonePeers()
	at := slices.IndexFunc(zone, func(p Peer) bool { return p.Name == f.name })
	first := min(f.readers+at*fanout, len(zone))
	return zone[first:min(first+fanout, len(zone))]
}

// zonePeers returns the processes of the zone, including this one, ordered by
// the hash of their names.
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

// nextPeers returns at most n peers, in rotation.
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

// peerTimeout returns the timeout of a call to a peer. It is a fraction of the
// period, so that a process whose parent is paused reads the platform long
// before its version lapses.
func (f *Follower) peerTimeout() time.Duration { return f.period / 4 }

// timeout returns a context that is cancelled after d on the follower's timer.
func (f *Follower) timeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	t := f.timers.After(d, cancel)
	return ctx, func() { t.Stop(); cancel() }
}
