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

// fakeSched returns a fixed usage for each team.
type fakeSched struct{ teams int }

func (f fakeSched) Summary() share.Summary {
	var s share.Summary
	for i := range f.teams {
		s.Teams = append(s.Teams, share.NewTeamUsage(fmt.Sprintf("team-%02d", i), wire.Needs{CPU: 1 << 20, Mem: 1 << 45, Accel: 9, Slots: 9}))
	}
	return s
}

func (fakeSched) Merge(share.Summary) {}

// fakeCaller records the summaries sent.
type fakeCaller struct{ sent chan share.Summary }

func (f fakeCaller) Call(_ context.Context, address, _ string, in, _ any) error {
	s := in.(share.Summary)
	f.sent <- s
	if address == "dead" {
		return errors.New("dead")
	}
	return nil
}

func TestBroadcastIsBounded(t *testing.T) {
	tests := map[string]struct {
		near, far, teams int
		sent             int
		atLeast, atMost  time.Duration // of the period
	}{
		"two small zones": {1, 7, 6, 8, time.Second, time.Second},
		"a zone of 22":    {21, 180, 47, 21, 3 * time.Second, share.Period},
		"alone":           {0, 0, 6, 0, time.Second, time.Second},
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
			d := x.broadcast(context.Background())
			is.True(d >= tt.atLeast && d <= tt.atMost)
			is.Equal(len(calls.sent), tt.sent)
			if tt.sent > 0 {
				s := <-calls.sent
				b, err := cbor.Marshal(s)
				is.NoErr(err)
				rate := float64(len(b)*tt.sent) / d.Seconds()
				t.Logf("%d bytes every %v to %d peers: %.0f bytes per second", len(b), d, tt.sent, rate)
				is.True(rate <= byteRate)
				is.Equal(s.Placer, "self")
				is.Equal(s.Epoch, uint64(7))
				is.Equal(s.Seq, uint64(1))
			}
		})
	}
}

// TestUnchangedIsSentLess checks that unchanged usage is sent only once per
// Period, but in the next round after a change, a restart of the peer or a failed
// call.
func TestUnchangedIsSentLess(t *testing.T) {
	tests := map[string]struct {
		between func(x *Exchange)
		address string
		rounds  int // until the usage is sent again
	}{
		"nothing":                  {func(*Exchange) {}, "peer", int(share.Period / minPeriod)},
		"a change":                 {func(x *Exchange) { x.sched = fakeSched{4} }, "peer", 1},
		"same process of the peer": {func(x *Exchange) { x.markSeen(&share.Summary{Placer: "peer", Epoch: 5}) }, "peer", int(share.Period / minPeriod)},
		"new process of the peer":  {func(x *Exchange) { x.markSeen(&share.Summary{Placer: "peer", Epoch: 6}) }, "peer", 1},
		"a failed call":            {func(*Exchange) {}, "dead", 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			calls := fakeCaller{make(chan share.Summary, 2)}
			peers := func() []Peer { return []Peer{{Name: "peer", Link: tt.address}} }
			x := New(Peer{Name: "self"}, 7, fakeSched{3}, calls, nil, peers)
			x.due(peers())
			x.markSeen(&share.Summary{Placer: "peer", Epoch: 5})
			x.broadcast(context.Background())
			is.Equal(len(calls.sent), 1)
			<-calls.sent
			tt.between(x)
			for round := 1; ; round++ {
				x.elapsed += minPeriod
				x.broadcast(context.Background())
				if len(calls.sent) > 0 {
					is.Equal(round, tt.rounds)
					return
				}
				is.True(round < 10)
			}
		})
	}
}
