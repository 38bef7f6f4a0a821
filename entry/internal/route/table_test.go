package route

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

// unreachableCaller fails all calls.
type unreachableCaller struct{}

// Call implements Caller.
func (unreachableCaller) Call(_ context.Context, address, _ string, _, _ any) error {
	return &link.DialError{Address: address, Err: &link.CutError{Address: address}}
}

func newTable() (*Table, *timer.Service) {
	clock := timer.New(timer.WithManual(time.Unix(1000, 0)))
	placers := []Placer{{"a1", "a", "1"}, {"a2", "a", "2"}, {"b1", "b", "3"}}
	return New(clock, unreachableCaller{}, "a", placers, metrics.NewRegistry()), clock
}

func load(epoch uint64, slots int64, wait int64) wire.Load {
	return wire.Load{
		Epoch: epoch, Free: map[wire.Kind]wire.Needs{wire.Quick: {Slots: slots}}, Wait: map[string]int64{"shop": wait},
	}
}

func TestPick(t *testing.T) {
	query := Query{Kind: wire.Quick, Queue: "shop"}
	tests := map[string]struct {
		loads map[string]wire.Load
		query Query
		after func(tb *Table, clock *timer.Service)
		want  string // names that may be picked, separated by spaces
	}{
		"nothing known":          {query: query, want: "a1 a2"},
		"own zone has capacity":  {loads: map[string]wire.Load{"a1": load(1, 4, 0), "b1": load(1, 4, 0)}, query: query, want: "a1"},
		"own zone is full":       {loads: map[string]wire.Load{"a1": load(1, 0, 0), "a2": load(1, 0, 0), "b1": load(1, 4, 0)}, query: query, want: "b1"},
		"all are full":           {loads: map[string]wire.Load{"a1": load(1, 0, 0), "a2": load(1, 0, 0), "b1": load(1, 0, 0)}, query: query, want: "a1 a2"},
		"needs too much for own": {loads: map[string]wire.Load{"a1": load(1, 1, 0), "a2": load(1, 1, 0), "b1": load(1, 4, 0)}, query: Query{Kind: wire.Quick, Needs: wire.Needs{Slots: 3}}, want: "b1"},
		"only the home zone":     {loads: map[string]wire.Load{"a1": load(1, 4, 0)}, query: Query{Kind: wire.Batch, Zone: "b"}, want: "b1"},
		"one was tried":          {query: Query{Kind: wire.Quick, Tried: map[string]bool{"a1": true}}, want: "a2"},
		"all were tried":         {query: Query{Kind: wire.Quick, Tried: map[string]bool{"a1": true, "a2": true, "b1": true}}, want: ""},
		"one is leaving": {
			loads: map[string]wire.Load{"a1": load(1, 4, 0), "a2": load(1, 4, 0)}, query: query, want: "a2",
			after: func(tb *Table, _ *timer.Service) { tb.Leaving("a1") },
		},
		"one was not reached": {
			loads: map[string]wire.Load{"a1": load(1, 4, 0), "a2": load(1, 4, 0)}, query: query, want: "a2",
			after: func(tb *Table, _ *timer.Service) { tb.Failed("a1") },
		},
		"not reached some time ago": {
			query: query, want: "a1 a2",
			after: func(tb *Table, clock *timer.Service) { tb.Failed("a1"); clock.Advance(3 * time.Second) },
		},
		"load is old": {
			loads: map[string]wire.Load{"a1": load(1, 4, 0)}, query: query, want: "b1",
			after: func(tb *Table, clock *timer.Service) {
				clock.Advance(4 * time.Second)
				tb.Set("b1", load(1, 4, 0), clock.Now())
			},
		},
		"load of an older process": {
			loads: map[string]wire.Load{"a1": load(2, 0, 0), "a2": load(1, 4, 0)}, query: query, want: "a2",
			after: func(tb *Table, clock *timer.Service) { tb.Set("a1", load(1, 4, 0), clock.Now()) },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tb, clock := newTable()
			for placer, l := range tt.loads {
				tb.Set(placer, l, clock.Now())
			}
			if tt.after != nil {
				tt.after(tb, clock)
			}
			for range 50 {
				p, ok := tb.Pick(tt.query)
				is.Equal(ok, tt.want != "")
				is.True(!ok || contains(tt.want, p.Name))
			}
		})
	}
}

func contains(names, name string) bool {
	for i := 0; i+len(name) <= len(names); i += len(name) + 1 {
		if names[i:i+len(name)] == name {
			return true
		}
	}
	return false
}

// TestShorterWaitIsPreferred checks how often each of two placers with free
// capacity is picked. The one with the shorter wait is picked unless both random
// draws select the other.
func TestShorterWaitIsPreferred(t *testing.T) {
	is := is.New(t)
	tb, clock := newTable()
	tb.Set("a1", load(1, 4, 0), clock.Now())
	tb.Set("a2", load(1, 4, 500), clock.Now())
	fast := 0
	for range 1000 {
		if p, _ := tb.Pick(Query{Kind: wire.Quick, Queue: "shop"}); p.Name == "a1" {
			fast++
		}
	}
	is.True(fast > 600)
	is.True(fast < 900) // The other placer still gets some requests, so that changes of its load are seen.
}
