package record

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/wire"
)

// holderLoss simulates the two holders of an idempotent request. One at a time is
// lost: its process is restarted, or paused and resumed. A run at a placer
// continues without the process that started it.
type holderLoss struct {
	*pair
	t       *rapid.T
	q       Request
	paused  string
	claims  []pendingClaim // entered but not yet secured
	active  []pendingClaim // secured, with a run in progress
	running map[string]int // number of runs at placers, by the host that started them
}

// Call implements Caller. Calls to the paused host fail.
func (l *holderLoss) Call(ctx context.Context, address, verb string, in, out any) error {
	if address == l.paused {
		return &link.DialError{Address: address, Err: &link.CutError{Address: address}}
	}
	return l.pair.Call(ctx, address, verb, in, out)
}

// call sends the request to the first holder that is not paused.
func (l *holderLoss) call() {
	first, second := l.ring.Holders(l.q.ID)
	if first.Name != l.paused {
		l.enter(first.Name, true)
		return
	}
	l.enter(second.Name, true)
}

func (l *holderLoss) enter(host string, forward bool) {
	k := l.keepers[host]
	l.follow(host, k.Enter(l.q), forward)
}

// follow acts on the answer of a host's record as package serve does.
func (l *holderLoss) follow(host string, ans Answer, forward bool) {
	k := l.keepers[host]
	switch {
	case ans.Action == Run:
		l.claims = append(l.claims, pendingClaim{host: host, keeper: k, q: l.q, note: ans.Note, doubt: ans.InDoubt})
	case ans.Action == ClaimedElsewhere && ans.Note.Host == l.paused:
		l.follow(host, k.TakeOver(l.q, ans.Note), false)
	case ans.Action == ClaimedElsewhere && forward && ans.Note.Host != host:
		l.enter(ans.Note.Host, false)
	}
}

// secure secures a claim and starts the request if it may run.
func (l *holderLoss) secure(i int) {
	c := l.claims[i]
	l.claims = append(l.claims[:i:i], l.claims[i+1:]...)
	ans := c.keeper.Secure(context.Background(), c.q, c.note)
	if ans.Action != Run {
		l.follow(c.host, ans, true)
		return
	}
	if c.doubt || ans.InDoubt {
		clear(l.running) // The placers are ordered to stop earlier runs.
	}
	c.note = ans.Note
	l.start(c)
}

func (l *holderLoss) start(c pendingClaim) {
	for host, n := range l.running {
		if n > 0 {
			l.t.Fatalf("%s starts a run while a run of %s is in progress", c.host, host)
		}
	}
	l.running[c.host]++
	l.active = append(l.active, c)
}

// finish ends a run. If its answer is lost, the request is sent again, provided
// that the claim is still valid.
func (l *holderLoss) finish(i int, lost bool) {
	c := l.active[i]
	l.active = append(l.active[:i:i], l.active[i+1:]...)
	n := Note{Outcome: wire.Done, Kept: true, Body: []byte("x")}
	if lost {
		if c.keeper.ClaimValid(context.Background(), c.note) {
			// Either its placer knows that the run has ended, or all placers are
			// ordered to stop it.
			l.running[c.host] = 0
			if rapid.Bool().Draw(l.t, "asked") {
				clear(l.running)
			}
			l.start(c)
			return
		}
		n = Note{Outcome: wire.Unknown, Reason: wire.ReasonLost}
	} else {
		l.running[c.host] = 0
	}
	c.keeper.End(c.note, n)
	if note, _, ok := c.keeper.Find(c.q.ID); ok && note.Ended() {
		note.Body, note.Kept = nil, false
		c.keeper.publishOutcome(note, false)
	}
}

// restart starts a new process on a host, without its earlier claims and records.
func (l *holderLoss) restart(host string) {
	keep := func(in []pendingClaim) (out []pendingClaim) {
		for _, c := range in {
			if c.host != host {
				out = append(out, c)
			}
		}
		return out
	}
	l.claims, l.active = keep(l.claims), keep(l.active)
	l.startWith(host, l)
}

// peerKnowsRuns reports whether the other host has the claims of all runs of this
// one.
func (l *holderLoss) peerKnowsRuns(host string) bool {
	for _, c := range l.active {
		if e := c.keeper.shard(c.q.ID).entries[c.q.ID]; c.host == host && !e.sharedWithPeer {
			return false
		}
	}
	return true
}

// pickAwake draws the index of a claim whose host is not paused, or returns -1.
func (l *holderLoss) pickAwake(in []pendingClaim) int {
	var at []int
	for i, c := range in {
		if c.host != l.paused {
			at = append(at, i)
		}
	}
	if len(at) == 0 {
		return -1
	}
	return rapid.SampledFrom(at).Draw(l.t, "claim")
}

// TestOneRunAfterALoss checks that an idempotent request never has two concurrent
// runs, whichever holder is lost at whatever time, provided that the other holder
// had the claim.
func TestOneRunAfterALoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &holderLoss{pair: newPair(), t: t, q: Request{ID: "red~x", Team: "red", Digest: 1}, running: make(map[string]int)}
		l.startWith("a1", l)
		l.startWith("a2", l)
		t.Repeat(map[string]func(*rapid.T){
			"call": func(t *rapid.T) { l.t = t; l.call() },
			"secure": func(t *rapid.T) {
				l.t = t
				if i := l.pickAwake(l.claims); i >= 0 {
					l.secure(i)
				}
			},
			"over": func(t *rapid.T) {
				l.t = t
				if i := l.pickAwake(l.active); i >= 0 {
					l.finish(i, rapid.Bool().Draw(t, "lost"))
				}
			},
			"ends unseen": func(*rapid.T) { clear(l.running) },
			"replace": func(t *rapid.T) {
				host := rapid.SampledFrom([]string{"a1", "a2"}).Draw(t, "host")
				if l.paused == "" && l.peerKnowsRuns(host) {
					l.restart(host)
				}
			},
			"pause": func(t *rapid.T) {
				host := rapid.SampledFrom([]string{"a1", "a2"}).Draw(t, "host")
				if l.paused == "" && l.peerKnowsRuns(host) {
					l.paused = host
				}
			},
			"wake": func(*rapid.T) {
				l.paused = ""
				l.clock.Advance(peerBackoffTime)
			},
			"": func(*rapid.T) { l.clock.Advance(time.Millisecond) },
		})
	})
}
