package jobs

import (
	"context"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/ledger"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/record"
)

// pair simulates two entry hosts in two zones. Calls go directly to the other Book.
type pair struct {
	platform *store.Memory
	books    map[string]*Book // by link address
	down     map[string]bool  // by link address
}

// Call implements Caller.
func (p *pair) Call(_ context.Context, address, _ string, in, out any) error {
	b := p.books[address]
	if b == nil || p.down[address] {
		return &UnknownError{ID: address}
	}
	*out.(*PeerReply) = b.handle(in.(PeerRequest))
	return nil
}

func newPair(t *testing.T, platform func(p *pair) Platform) *pair {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	clock := timer.New()
	g.Go(func() error { return clock.Run(ctx) })
	t.Cleanup(func() { cancel(); _ = g.Wait() })
	p := &pair{platform: store.New(store.WithTimer(clock)), books: make(map[string]*Book), down: make(map[string]bool)}
	hosts := []record.Host{{Name: "a1", Zone: "a", Link: "a1"}, {Name: "b1", Zone: "b", Link: "b1"}}
	ring := record.NewRing([]string{"a", "b"}, hosts)
	for _, h := range hosts {
		p.books[h.Link] = New(clock, p, platform(p), ring, h, metrics.NewRegistry())
	}
	return p
}

// hookedPlatform calls before at the start of each commit.
type hookedPlatform struct {
	*store.Memory
	before func()
}

func (h *hookedPlatform) Commit(ctx context.Context, ops []store.Op) error {
	h.before()
	return h.Memory.Commit(ctx, ops)
}

// TestCancellationOfAHeldJobIsKept checks that the row of a held job has a
// cancellation that either of the two hosts accepted, whichever host writes the row
// and whichever dies.
func TestCancellationOfAHeldJobIsKept(t *testing.T) {
	const id = "team~plan"
	ctx := context.Background()
	write := func(p *pair, names ...string) {
		for _, n := range names {
			if !p.down[n] {
				p.books[n].Write(ctx, func(wire.Job) {})
			}
		}
	}
	tests := map[string]struct {
		before       func(p *pair) // while the platform is unavailable
		beforeCommit func(p *pair) // just before the first commit
		order        []string
	}{
		"at the writer":                       {before: func(p *pair) { p.books["a1"].Cancel(ctx, id) }, order: []string{"a1", "b1"}},
		"at the other":                        {before: func(p *pair) { p.books["b1"].Cancel(ctx, id) }, order: []string{"a1", "b1"}},
		"at the writer, which dies":           {before: func(p *pair) { p.books["a1"].Cancel(ctx, id); p.down["a1"] = true }, order: []string{"b1"}},
		"at the other, which dies":            {before: func(p *pair) { p.books["b1"].Cancel(ctx, id); p.down["b1"] = true }, order: []string{"a1"}},
		"at the writer while it writes":       {beforeCommit: func(p *pair) { p.books["a1"].Cancel(ctx, id) }, order: []string{"a1", "a1", "b1"}},
		"at the other while the first writes": {beforeCommit: func(p *pair) { p.books["b1"].Cancel(ctx, id) }, order: []string{"a1", "b1"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			beforeCommit := func() {}
			p := newPair(t, func(p *pair) Platform { return &hookedPlatform{p.platform, func() { beforeCommit() }} })
			p.platform.SetFaults(store.Faults{Down: true})
			state, _ := p.books["a1"].Accept(ctx, wire.Request{ID: id, Kind: wire.Service, Team: "team"})
			is.Equal(state, Held)
			if tt.before != nil {
				tt.before(p)
			}
			p.platform.SetFaults(store.Faults{})
			if tt.beforeCommit != nil {
				beforeCommit = func() { beforeCommit = func() {}; tt.beforeCommit(p) }
			}
			write(p, tt.order...)
			rows, err := p.platform.Scan(ctx, ledger.Jobs, "")
			is.NoErr(err)
			is.Equal(len(rows), 1)
			var job wire.Job
			is.NoErr(cbor.Unmarshal(rows[0].Value, &job))
			is.True(job.Cancel)
			for _, b := range p.books {
				is.True(p.down[b.self.Link] || b.Held() == 0)
			}
		})
	}
}
