package record

import (
	"context"
	"strconv"
	"testing"

	"github.com/matryer/is"
)

// TestOneRunOfIdempotent lets both holders of an id claim an idempotent request.
// It checks which of them may run it, and whose claim is still valid before the
// request is sent again.
func TestOneRunOfIdempotent(t *testing.T) {
	q := Request{ID: "red~x", Team: "red", Digest: 1}
	ctx := context.Background()
	tests := map[string]struct {
		act    func(p *pair, first, second *Keeper) (a, b Answer)
		first  Action
		second Action
		doubt  bool // of the second answer
		stands []bool
	}{
		"one after the other": {
			act: func(_ *pair, first, second *Keeper) (a, b Answer) {
				a = first.Secure(ctx, q, first.Enter(q).Note)
				return a, second.Enter(q)
			},
			first: Run, second: ClaimedElsewhere, stands: []bool{true, false},
		},
		"at once, first secures first": {
			act: func(_ *pair, first, second *Keeper) (a, b Answer) {
				a, b = first.Enter(q), second.Enter(q)
				a = first.Secure(ctx, q, a.Note)
				return a, second.Secure(ctx, q, b.Note)
			},
			first: Run, second: ClaimedElsewhere, stands: []bool{true, false},
		},
		"at once, second secures first": {
			act: func(_ *pair, first, second *Keeper) (a, b Answer) {
				a, b = first.Enter(q), second.Enter(q)
				b = second.Secure(ctx, q, b.Note)
				return first.Secure(ctx, q, a.Note), b
			},
			first: Run, second: ClaimedElsewhere, stands: []bool{true, false},
		},
		"taken over while the first was unreachable": {
			act: func(p *pair, first, second *Keeper) (a, b Answer) {
				a = first.Secure(ctx, q, first.Enter(q).Note)
				p.cut = true
				taken := second.TakeOver(q, second.Enter(q).Note)
				b = second.Secure(ctx, q, taken.Note)
				b.InDoubt = taken.InDoubt
				p.cut = false
				return a, b
			},
			first: Run, second: Run, doubt: true, stands: []bool{false, true},
		},
		"second ran it while the first was unreachable": {
			act: func(p *pair, first, second *Keeper) (a, b Answer) {
				p.cut = true
				b = second.Secure(ctx, q, second.Enter(q).Note)
				p.cut = false
				return first.Secure(ctx, q, first.Enter(q).Note), b
			},
			first: ClaimedElsewhere, second: Run, stands: []bool{false, true},
		},
		"second secures its claim from before its takeover": {
			act: func(p *pair, first, second *Keeper) (a, b Answer) {
				a, b = first.Enter(q), second.Enter(q)
				a = first.Secure(ctx, q, a.Note) // The second holder's claim is replaced.
				p.cut = true
				second.TakeOver(q, second.Enter(q).Note)
				return a, second.Secure(ctx, q, b.Note)
			},
			first: Run, second: ClaimedElsewhere, stands: []bool{false, true},
		},
		"other holder is unreachable": {
			act: func(p *pair, first, second *Keeper) (a, b Answer) {
				a, b = first.Secure(ctx, q, first.Enter(q).Note), second.Enter(q)
				p.cut = true
				return a, b
			},
			first: Run, second: ClaimedElsewhere, stands: []bool{false, false},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair()
			one, two := p.ring.Holders(q.ID)
			first, second := p.keepers[one.Name], p.keepers[two.Name]
			a, b := tt.act(p, first, second)
			is.Equal(a.Action, tt.first)
			is.Equal(b.Action, tt.second)
			is.Equal(b.InDoubt, tt.doubt)
			is.True(!a.InDoubt)
			stillHeld := func(k *Keeper) bool { n, _, _ := k.Find(q.ID); return n.Host == k.self.Name && k.ClaimValid(ctx, n) }
			is.Equal([]bool{stillHeld(first), stillHeld(second)}, tt.stands)
		})
	}
}

// TestUnresponsiveHolderBackoff cuts the connection between the holders. It checks
// that not every request waits for a call to the other holder, and that claims
// are sent to it again once it answers.
func TestUnresponsiveHolderBackoff(t *testing.T) {
	is := is.New(t)
	p := newPair()
	k := p.keepers["a1"]
	ids := 0
	run := func() (id string) {
		ids++
		q := Request{ID: "red~" + strconv.Itoa(ids), Team: "red", Digest: 1}
		is.Equal(k.Secure(context.Background(), q, k.Enter(q).Note).Action, Run)
		return q.ID
	}
	p.calls, p.cut = 0, true
	for range 20 {
		run()
	}
	is.Equal(p.calls, 1)
	p.clock.Advance(peerBackoffTime)
	for range 20 {
		run()
	}
	is.Equal(p.calls, 2)
	p.cut = false
	p.clock.Advance(peerBackoffTime)
	_, _, known := p.keepers["a2"].Find(run())
	is.True(known)
	_, _, known = p.keepers["a2"].Find(run())
	is.True(known)
}
