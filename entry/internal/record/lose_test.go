package record

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/wire"
)

// loss is the two holders of an idempotent request, of which one at a time is
// lost: its process is replaced, or stands still and wakes. Runs go on at
// placers without the process that began them.
type loss struct {
	*pair
	t       *rapid.T
	q       Question
	paused  string
	claims  []claimed      // entered and not yet secured
	active  []claimed      // their runs are awaited
	running map[string]int // runs at placers, by the host that began them
}

// Call implements Caller: a host that stands still answers nothing.
func (l *loss) Call(ctx context.Context, address, verb string, in, out any) error {
	if address == l.paused {
		return &link.DialError{Address: address, Err: &link.CutError{Address: address}}
	}
	return l.pair.Call(ctx, address, verb, in, out)
}

// call leads the request to the first holder that answers.
func (l *loss) call() {
	first, second := l.ring.Holders(l.q.ID)
	if first.Name != l.paused {
		l.enter(first.Name, true)
		return
	}
	l.enter(second.Name, true)
}

func (l *loss) enter(host string, forward bool) {
	k := l.keepers[host]
	l.act(host, k.Enter(l.q), forward)
}

// act does what a host's record says, as package serve does.
func (l *loss) act(host string, ans Answer, forward bool) {
	k := l.keepers[host]
	switch {
	case ans.Verdict == Run:
		l.claims = append(l.claims, claimed{host: host, keeper: k, q: l.q, note: ans.Note, doubt: ans.Doubt})
	case ans.Verdict == Away && ans.Note.Host == l.paused:
		l.act(host, k.TakeOver(l.q, ans.Note), false)
	case ans.Verdict == Away && forward && ans.Note.Host != host:
		l.enter(ans.Note.Host, false)
	}
}

// secure goes on with a claim of a host that doesn't stand still.
func (l *loss) secure(i int) {
	c := l.claims[i]
	l.claims = append(l.claims[:i:i], l.claims[i+1:]...)
	ans := c.keeper.Secure(context.Background(), c.q, c.note)
	if ans.Verdict != Run {
		l.act(c.host, ans, true)
		return
	}
	if c.doubt || ans.Doubt {
		clear(l.running) // The placers are asked to stop what is left.
	}
	c.note = ans.Note
	l.start(c)
}

func (l *loss) start(c claimed) {
	for host, n := range l.running {
		if n > 0 {
			l.t.Fatalf("%s starts a run beside that of %s", c.host, host)
		}
	}
	l.running[c.host]++
	l.active = append(l.active, c)
}

// over ends a run that is awaited: with its answer, or not to be seen any more
// and then sent again if the claim still stands.
func (l *loss) over(i int, lost bool) {
	c := l.active[i]
	l.active = append(l.active[:i:i], l.active[i+1:]...)
	n := Note{Outcome: wire.Done, Kept: true, Body: []byte("x")}
	if lost {
		if c.keeper.Stands(context.Background(), c.note) {
			// Its placer knows that the run has ended, or all placers are asked.
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
		c.keeper.tell(note, false)
	}
}

// replace ends a host's process and starts it again.
func (l *loss) replace(host string) {
	keep := func(in []claimed) (out []claimed) {
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

// known reports whether the other host was told of all runs of this one.
func (l *loss) known(host string) bool {
	for _, c := range l.active {
		if e := c.keeper.shard(c.q.ID).entries[c.q.ID]; c.host == host && !e.shared {
			return false
		}
	}
	return true
}

// pick draws one of the claims whose hosts don't stand still.
func (l *loss) pick(in []claimed) int {
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

// TestOneRunAfterALoss states that an idempotent request never runs beside
// itself, whichever of its holders is lost and when, if the other one knew of
// its run.
func TestOneRunAfterALoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &loss{pair: newPair(), t: t, q: Question{ID: "red~x", Team: "red", Digest: 1}, running: make(map[string]int)}
		l.startWith("a1", l)
		l.startWith("a2", l)
		t.Repeat(map[string]func(*rapid.T){
			"call": func(t *rapid.T) { l.t = t; l.call() },
			"secure": func(t *rapid.T) {
				l.t = t
				if i := l.pick(l.claims); i >= 0 {
					l.secure(i)
				}
			},
			"over": func(t *rapid.T) {
				l.t = t
				if i := l.pick(l.active); i >= 0 {
					l.over(i, rapid.Bool().Draw(t, "lost"))
				}
			},
			"ends unseen": func(*rapid.T) { clear(l.running) },
			"replace": func(t *rapid.T) {
				host := rapid.SampledFrom([]string{"a1", "a2"}).Draw(t, "host")
				if l.paused == "" && l.known(host) {
					l.replace(host)
				}
			},
			"pause": func(t *rapid.T) {
				host := rapid.SampledFrom([]string{"a1", "a2"}).Draw(t, "host")
				if l.paused == "" && l.known(host) {
					l.paused = host
				}
			},
			"wake": func(*rapid.T) {
				l.paused = ""
				l.clock.Advance(shareRest)
			},
			"": func(*rapid.T) { l.clock.Advance(time.Millisecond) },
		})
	})
}
