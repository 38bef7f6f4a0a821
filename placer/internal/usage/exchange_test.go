package usage

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/share"
)

// fakeSched uses a fixed amount.
type fakeSched struct{ teams int }

func (f fakeSched) Summary() share.Summary {
	var s share.Summary
	for i := range f.teams {
		s.Teams = append(s.Teams, share.NewUse(fmt.Sprintf("team-%02d", i), wire.Needs{CPU: 1 << 20, Mem: 1 << 45, Accel: 9, Slots: 9}))
	}
	return s
}

func (fakeSched) Merge(share.Summary) {}

// fakeCaller notes who is told what.
type fakeCaller struct{ told chan share.Summary }

func (f fakeCaller) Call(_ context.Context, address, _ string, in, _ any) error {
	s := in.(share.Summary)
	f.told <- s
	if address == "dead" {
		return errors.New("dead")
	}
	return nil
}

func TestTellIsBounded(t *testing.T) {
	tests := map[string]struct {
		near, far, teams int
		told             int
		atLeast, atMost  time.Duration
	}{
		"two users' cells": {1, 7, 6, 8, time.Second, time.Second},
		"a zone of 22":     {21, 180, 47, 21, 3 * time.Second, share.Period},
		"alone":            {0, 0, 6, 0, time.Second, time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var peers []Peer
			for i := range tt.near + tt.far {
				p := Peer{Name: fmt.Sprint(i), Zone: "near", Link: fmt.Sprint(i)}
				if i >= tt.near {
					p.Zone, p.Link = "far", "dead"
				}
				peers = append(peers, p)
			}
			calls := fakeCaller{make(chan share.Summary, len(peers))}
			x := New(Peer{Name: "self", Zone: "near"}, 7, fakeSched{tt.teams}, calls, nil, func() []Peer { return peers })
			d := x.tell(context.Background())
			is.True(d >= tt.atLeast && d <= tt.atMost)
			is.Equal(len(calls.told), tt.told)
			if tt.told > 0 {
				s := <-calls.told
				b, err := cbor.Marshal(s)
				is.NoErr(err)
				rate := float64(len(b)*tt.told) / d.Seconds()
				t.Logf("%d bytes each %v to %d: %.0f bytes a second", len(b), d, tt.told, rate)
				is.True(rate <= byteRate)
				is.Equal(s.Placer, "self")
				is.Equal(s.Epoch, uint64(7))
				is.Equal(s.Seq, uint64(1))
			}
		})
	}
}

// What hasn't changed is told each Period only. A change, a new process of a
// peer and a word that was lost are told in the next round.
func TestUnchangedIsToldLess(t *testing.T) {
	tests := map[string]struct {
		between func(x *Exchange)
		address string
		rounds  int // until it is told again
	}{
		"nothing":                    {func(*Exchange) {}, "peer", int(share.Period / minPeriod)},
		"a change":                   {func(x *Exchange) { x.sched = fakeSched{4} }, "peer", 1},
		"a word of the same process": {func(x *Exchange) { x.heard(&share.Summary{Placer: "peer", Epoch: 5}) }, "peer", int(share.Period / minPeriod)},
		"a new process":              {func(x *Exchange) { x.heard(&share.Summary{Placer: "peer", Epoch: 6}) }, "peer", 1},
		"a lost word":                {func(*Exchange) {}, "dead", 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			calls := fakeCaller{make(chan share.Summary, 2)}
			peers := func() []Peer { return []Peer{{Name: "peer", Link: tt.address}} }
			x := New(Peer{Name: "self"}, 7, fakeSched{3}, calls, nil, peers)
			x.due(peers())
			x.heard(&share.Summary{Placer: "peer", Epoch: 5})
			x.tell(context.Background())
			is.Equal(len(calls.told), 1)
			<-calls.told
			tt.between(x)
			for round := 1; ; round++ {
				x.age += minPeriod
				x.tell(context.Background())
				if len(calls.told) > 0 {
					is.Equal(round, tt.rounds)
					return
				}
				is.True(round < 10)
			}
		})
	}
}
