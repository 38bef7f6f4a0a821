package record

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

// pair simulates two hosts whose connection can be cut.
type pair struct {
	clock    *timer.Service
	platform *store.Memory
	ring     *Ring
	keepers  map[string]*Keeper
	cut      bool
	calls    int
}

func newPair() *pair {
	p := &pair{
		clock: timer.New(timer.WithManual(time.Unix(1_700_000_000, 0))), platform: store.New(), keepers: make(map[string]*Keeper),
	}
	p.ring = NewRing([]string{"a"}, []Host{{Name: "a1", Zone: "a", Link: "a1"}, {Name: "a2", Zone: "a", Link: "a2"}})
	p.start("a1")
	p.start("a2")
	return p
}

// start starts a new process without records on a host.
func (p *pair) start(name string) { p.startWith(name, p) }

// startWith is like start, with the Caller for the host's calls.
func (p *pair) startWith(name string, caller Caller) {
	p.clock.Advance(time.Millisecond)
	self, _ := p.ring.Host(name)
	p.keepers[name] = New(p.clock, caller, p.platform, p.ring, self, NewIssuer(p.clock, "a", name), WithRetention(time.Minute))
	p.keepers[name].group.SetLimit(0) // Disable background tasks.
	p.keepers[name].Sync(context.Background())
}

// Call implements Caller.
func (p *pair) Call(_ context.Context, address, _ string, in, out any) error {
	p.calls++
	if p.cut {
		return &link.DialError{Address: address, Err: &link.CutError{Address: address}}
	}
	*out.(*PeerReply) = p.keepers[address].dispatch(in.(PeerRequest))
	return nil
}

// claim enters and secures a request on a host.
func (p *pair) claim(host, id string) Answer {
	q := Request{ID: id, Team: "red", Digest: 1, Once: true}
	ans := p.keepers[host].Enter(q)
	if ans.Action != Run {
		return ans
	}
	return p.keepers[host].Secure(context.Background(), q, ans.Note)
}

// restartBoth restarts both hosts before either has read the other's records.
func restartBoth(p *pair) {
	p.cut = true
	p.start("a1")
	p.start("a2")
	p.cut = false
}

// TestClaimsAfterRestart checks the answer to a second claim of an id after hosts
// have lost their records in a restart.
func TestClaimsAfterRestart(t *testing.T) {
	const id = "red~x"
	tests := map[string]struct {
		before func(p *pair)
		after  func(p *pair)
		action Action
	}{
		"no restart": {after: func(*pair) {}, action: Wait},
		"first restarted, second has the claim": {
			after: func(p *pair) { p.start("a1") }, action: Refuse,
		},
		"first restarted, platform has the claim": {
			before: func(p *pair) { p.cut = true },
			after:  func(p *pair) { p.cut = false; p.start("a1") }, action: Refuse,
		},
		"platform down while the first restarts": {
			before: func(p *pair) { p.cut = true },
			after: func(p *pair) {
				p.cut = false
				p.platform.SetFaults(store.Faults{Down: true})
				p.start("a1")
			}, action: Refuse,
		},
		"both restarted": {
			after: restartBoth, action: Refuse,
		},
		"one restarted after the other": {
			after: func(p *pair) { p.start("a1"); p.start("a2") }, action: Refuse,
		},
		"both restarted, retention time passed": {
			after: func(p *pair) {
				restartBoth(p)
				p.clock.Advance(2 * time.Minute)
			}, action: Run,
		},
		"second restarted while cut off": {
			after: func(p *pair) { p.cut = true; p.start("a2") }, action: Wait,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair()
			if tt.before != nil {
				tt.before(p)
			}
			is.Equal(p.claim("a1", id).Action, Run)
			tt.after(p)
			ans := p.claim("a1", id)
			is.Equal(ans.Action, tt.action)
			if tt.action == Refuse {
				is.Equal(ans.Note.Outcome, wire.Unknown)
			}
		})
	}
}

func TestBatchConflictIsPerWrite(t *testing.T) {
	is := is.New(t)
	memory := store.New()
	b := newBatcher(memory)
	is.NoErr(b.commit(context.Background(), store.Op{Table: "t", Key: "taken", Action: store.Put}))
	group := make([]*pendingWrite, 0, 3)
	for _, key := range []string{"new", "taken", "other"} {
		w := &pendingWrite{op: store.Op{Table: "t", Key: key, Action: store.Put}, done: make(chan error, 1), lead: make(chan struct{})}
		group = append(group, w)
	}
	b.writeGroup(context.Background(), group)
	is.NoErr(<-group[0].done)
	is.True(<-group[1].done != nil) // Only the conflicting write fails.
	is.NoErr(<-group[2].done)
}
