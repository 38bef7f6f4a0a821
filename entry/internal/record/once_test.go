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

// maxDepth limits the nesting of calls that start during another call.
const maxDepth = 3

// cluster simulates three hosts with random failures of calls and of the platform.
type cluster struct {
	t        *rapid.T
	clock    *timer.Service
	platform *store.Memory
	ring     *Ring
	hosts    []Host
	keepers  map[string]*Keeper
	ids      []string
	claims   []pendingClaim
	starts   map[string]int
	cut      map[string]bool // pairs of caller and callee whose calls fail
	depth    int
	faults   bool
}

// pendingClaim is a claim that was entered but not yet secured.
type pendingClaim struct {
	host   string
	keeper *Keeper
	q      Request
	note   Note
	doubt  bool // an earlier run may still be in progress
}

func newCluster(t *rapid.T) *cluster {
	w := &cluster{
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

// start starts a new process without records on a host.
func (w *cluster) start(h Host) {
	w.clock.Advance(time.Millisecond)
	caller := &lossyCaller{cluster: w, from: h.Name}
	w.keepers[h.Name] = New(w.clock, caller, w.platform, w.ring, h, NewIssuer(w.clock, h.Zone, h.Name))
	w.keepers[h.Name].group.SetLimit(0) // Disable background tasks.
	w.keepers[h.Name].Sync(context.Background())
}

// end records an outcome and usually sends it to the other replicas.
func (w *cluster) end(c pendingClaim, claim, n Note) {
	c.keeper.End(claim, n)
	if !w.drawPercent("told", 70) {
		return
	}
	sh := c.keeper.shard(claim.ID)
	sh.mu.Lock()
	e := sh.entries[claim.ID]
	var note Note
	row := false
	if e != nil {
		note, row = e.note, e.mayHaveRow
	}
	sh.mu.Unlock()
	if note.Ended() {
		c.keeper.publishOutcome(note, row)
	}
}

// lossyCaller delivers calls within the cluster and loses or duplicates some.
type lossyCaller struct {
	cluster *cluster
	from    string
}

// Call implements Caller.
func (c *lossyCaller) Call(_ context.Context, address, _ string, in, out any) error {
	w := c.cluster
	if w.faults && (w.cut[c.from+address] || w.drawPercent("call is lost", 15)) {
		return &link.DialError{Address: address, Err: &link.CutError{Address: address}}
	}
	w.interleave()
	k, req := w.keepers[address], in.(PeerRequest)
	reply := k.dispatch(req)
	if w.faults && w.drawPercent("call is doubled", 10) {
		reply = k.dispatch(req)
	}
	w.interleave()
	if w.faults && w.drawPercent("answer is lost", 15) {
		return &link.StreamError{Op: "receive", Err: &link.CutError{Address: address}}
	}
	*out.(*PeerReply) = reply
	return nil
}

func (w *cluster) drawPercent(what string, percent int) bool {
	return rapid.IntRange(1, 100).Draw(w.t, what) <= percent
}

// interleave lets another host try to run a request during a call.
func (w *cluster) interleave() {
	if !w.faults || w.depth >= maxDepth || !w.drawPercent("meanwhile", 20) {
		return
	}
	w.depth++
	defer func() { w.depth-- }()
	w.attempt()
}

// attempt sends a request to one of the holders of its id.
func (w *cluster) attempt() {
	id := rapid.SampledFrom(w.ids).Draw(w.t, "id")
	first, second := w.ring.Holders(id)
	h := first
	if w.drawPercent("second holder", 40) {
		h = second
	}
	k := w.keepers[h.Name]
	q := Request{ID: id, Team: "red", Digest: 1, Once: true}
	ans := k.Enter(q)
	w.check(id, ans)
	if ans.Action == Run {
		w.claims = append(w.claims, pendingClaim{host: h.Name, keeper: k, q: q, note: ans.Note})
		if w.drawPercent("at once", 60) {
			w.secure(len(w.claims) - 1)
		}
	}
}

// secure secures a claim and starts the request if it may run.
func (w *cluster) secure(i int) {
	c := w.claims[i]
	w.claims = append(w.claims[:i:i], w.claims[i+1:]...)
	ans := c.keeper.Secure(context.Background(), c.q, c.note)
	if w.keepers[c.host] != c.keeper {
		return // The process ended during the call.
	}
	w.check(c.q.ID, ans)
	if ans.Action != Run {
		return
	}
	switch rapid.IntRange(0, 4).Draw(w.t, "end") {
	case 0:
		w.end(c, ans.Note, Note{Outcome: wire.NotRun, Reason: wire.ReasonBusy})
	case 1:
		w.starts[c.q.ID]++ // The process dies before it records the outcome.
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

// check fails if an answer reports a started request as not run.
func (w *cluster) check(id string, ans Answer) {
	if ans.Action == Refuse && ans.Note.Outcome == wire.NotRun && w.starts[id] > 0 {
		w.t.Fatalf("%s was started but is reported as not run: %+v", id, ans.Note)
	}
}

// restart starts a new process on a host, without its earlier claims and records.
func (w *cluster) restart(h Host) {
	kept := w.claims[:0]
	for _, c := range w.claims {
		if c.host != h.Name {
			kept = append(kept, c)
		}
	}
	w.claims = kept
	w.start(h)
}

// TestOnce restarts hosts, loses and duplicates calls and answers, and takes the
// platform down. It checks that no request starts twice and that no started
// request is reported as not run.
func TestOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newCluster(t)
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
			id, ok := ScopedID("red", tt.id)
			if ok != tt.ok || ok && CallerID(id) != tt.id {
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
