package record

import (
	"context"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

// maxDepth bounds calls within calls.
const maxDepth = 3

// world is three hosts whose calls and platform fail at random.
type world struct {
	t        *rapid.T
	clock    *timer.Service
	platform *store.Memory
	ring     *Ring
	hosts    []Host
	keepers  map[string]*Keeper
	ids      []string
	claims   []claimed
	starts   map[string]int
	cut      map[string]bool // pairs of hosts
	depth    int
	faults   bool
}

// claimed is a claim that was entered and not yet secured.
type claimed struct {
	host   string
	keeper *Keeper
	q      Question
	note   Note
	doubt  bool // an earlier run may still go on
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, clock: timer.New(timer.WithManual(time.Unix(1_700_000_000, 0))), platform: store.New(),
		keepers: make(map[string]*Keeper), starts: make(map[string]int), cut: make(map[string]bool),
	}
	for _, name := range []string{"a1", "a2", "a3"} {
		w.hosts = append(w.hosts, Host{Name: name, Zone: "a", Link: name})
	}
	w.ring = NewRing([]string{"a"}, w.hosts)
	for _, h := range w.hosts {
		w.start(h)
	}
	w.ids = []string{"red~one", "red~two", w.keepers["a1"].issuer.Issue()}
	return w
}

// start starts a host's process with nothing in its memory.
func (w *world) start(h Host) {
	w.clock.Advance(time.Millisecond)
	caller := &lossyCaller{world: w, from: h.Name}
	w.keepers[h.Name] = New(w.clock, caller, w.platform, w.ring, h, NewIssuer(w.clock, h.Zone, h.Name))
	w.keepers[h.Name].group.SetLimit(0) // Nothing happens in the background.
	w.keepers[h.Name].Sync(context.Background())
}

// end notes an outcome and, as a rule, tells the other places.
func (w *world) end(c claimed, claim, n Note) {
	c.keeper.End(claim, n)
	if !w.chance("told", 70) {
		return
	}
	sh := c.keeper.shard(claim.ID)
	sh.mu.Lock()
	e := sh.entries[claim.ID]
	var note Note
	row := false
	if e != nil {
		note, row = e.note, e.row
	}
	sh.mu.Unlock()
	if note.Ended() {
		c.keeper.tell(note, row)
	}
}

// lossyCaller delivers calls within the world.
type lossyCaller struct {
	world *world
	from  string
}

// Call implements Caller.
func (c *lossyCaller) Call(_ context.Context, address, _ string, in, out any) error {
	w := c.world
	if w.faults && (w.cut[c.from+address] || w.chance("call is lost", 15)) {
		return &link.DialError{Address: address, Err: &link.CutError{Address: address}}
	}
	w.meanwhile()
	k, ask := w.keepers[address], in.(Ask)
	told := k.answer(ask)
	if w.faults && w.chance("call is doubled", 10) {
		told = k.answer(ask)
	}
	w.meanwhile()
	if w.faults && w.chance("answer is lost", 15) {
		return &link.StreamError{Op: "receive", Err: &link.CutError{Address: address}}
	}
	*out.(*Told) = told
	return nil
}

func (w *world) chance(what string, percent int) bool {
	return rapid.IntRange(1, 100).Draw(w.t, what) <= percent
}

// meanwhile lets another host act in the middle of a call.
func (w *world) meanwhile() {
	if !w.faults || w.depth >= maxDepth || !w.chance("meanwhile", 20) {
		return
	}
	w.depth++
	defer func() { w.depth-- }()
	w.attempt()
}

// attempt asks a holder of an id to run it.
func (w *world) attempt() {
	id := rapid.SampledFrom(w.ids).Draw(w.t, "id")
	first, second := w.ring.Holders(id)
	h := first
	if w.chance("second holder", 40) {
		h = second
	}
	k := w.keepers[h.Name]
	q := Question{ID: id, Team: "red", Digest: 1, Once: true}
	ans := k.Enter(q)
	w.check(id, ans)
	if ans.Verdict == Run {
		w.claims = append(w.claims, claimed{host: h.Name, keeper: k, q: q, note: ans.Note})
		if w.chance("at once", 60) {
			w.secure(len(w.claims) - 1)
		}
	}
}

// secure goes on with a claim: if it is held, the request starts.
func (w *world) secure(i int) {
	c := w.claims[i]
	w.claims = append(w.claims[:i:i], w.claims[i+1:]...)
	ans := c.keeper.Secure(context.Background(), c.q, c.note)
	if w.keepers[c.host] != c.keeper {
		return // The process ended in the middle of the call.
	}
	w.check(c.q.ID, ans)
	if ans.Verdict != Run {
		return
	}
	switch rapid.IntRange(0, 4).Draw(w.t, "end") {
	case 0:
		w.end(c, ans.Note, Note{Outcome: wire.NotRun, Reason: wire.ReasonBusy})
	case 1:
		w.starts[c.q.ID]++ // The process dies before it notes the end.
	case 2:
		w.starts[c.q.ID]++
		w.end(c, ans.Note, Note{Outcome: wire.Unknown, Reason: wire.ReasonLost})
	default:
		w.starts[c.q.ID]++
		w.end(c, ans.Note, Note{Outcome: wire.Done, Kept: true, Body: []byte("x")})
	}
	if w.starts[c.q.ID] > 1 {
		w.t.Fatalf("%s was started %d times", c.q.ID, w.starts[c.q.ID])
	}
}

// check fails if an answer says that a started request has not run.
func (w *world) check(id string, ans Answer) {
	if ans.Verdict == Refuse && ans.Note.Outcome == wire.NotRun && w.starts[id] > 0 {
		w.t.Fatalf("%s is said not to have run: %+v", id, ans.Note)
	}
}

// restart ends a host's process and starts it again.
func (w *world) restart(h Host) {
	kept := w.claims[:0]
	for _, c := range w.claims {
		if c.host != h.Name {
			kept = append(kept, c)
		}
	}
	w.claims = kept
	w.start(h)
}

// TestOnce lets hosts die, calls and their answers get lost or come twice,
// and the platform go away, and states that no request is started twice and
// that none that was started is said not to have run.
func TestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.faults = true
		t.Repeat(map[string]func(*rapid.T){
			"attempt": func(t *rapid.T) { w.t = t; w.attempt() },
			"secure": func(t *rapid.T) {
				w.t = t
				if len(w.claims) > 0 {
					w.secure(rapid.IntRange(0, len(w.claims)-1).Draw(t, "claim"))
				}
			},
			"restart": func(t *rapid.T) { w.t = t; w.restart(rapid.SampledFrom(w.hosts).Draw(t, "host")) },
			"sync": func(t *rapid.T) {
				w.t = t
				w.keepers[rapid.SampledFrom(w.hosts).Draw(t, "host").Name].Sync(context.Background())
			},
			"cut": func(t *rapid.T) {
				w.t = t
				pair := rapid.SampledFrom([]string{"a1a2", "a2a1", "a1a3", "a3a1", "a2a3", "a3a2"}).Draw(t, "pair")
				w.cut[pair] = !w.cut[pair]
			},
			"platform": func(t *rapid.T) {
				w.platform.SetFaults(store.Faults{
					Down: rapid.Bool().Draw(t, "down"), Next: rapid.IntRange(0, 1).Draw(t, "lost"), Drop: rapid.IntRange(0, 1).Draw(t, "dropped"),
				})
			},
		})
	})
}

func TestOwnIDs(t *testing.T) {
	tests := map[string]struct {
		id string
		ok bool
	}{
		"plain": {"order-17_A", true}, "empty": {"", false}, "dots": {"a.b.c.d", false}, "tilde": {"a~b", false},
		"slash": {"a/b", false}, "longest": {strings.Repeat("x", 64), true}, "too long": {strings.Repeat("x", 65), false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			id, ok := Own("red", tt.id)
			if ok != tt.ok || ok && Shown(id) != tt.id {
				t.Fatalf("%q gives %q, %v", tt.id, id, ok)
			}
		})
	}
}

func TestIssuedIDs(t *testing.T) {
	clock := timer.New(timer.WithManual(time.Unix(1_700_000_000, 0)))
	s := NewIssuer(clock, "a", "a1")
	seen := make(map[string]bool)
	for range 1000 {
		id := s.Issue()
		is, ok := ParseIssued(id)
		if seen[id] || !ok || is.Host != "a1" || is.Zone != "a" || is.Epoch != s.Epoch() {
			t.Fatalf("%s reads as %+v", id, is)
		}
		seen[id] = true
	}
	clock.Advance(90 * time.Second)
	if is, _ := ParseIssued(s.Issue()); is.At.Sub(time.Unix(1_700_000_000, 0)) != 90*time.Second {
		t.Fatalf("issued at %v", is.At)
	}
}
