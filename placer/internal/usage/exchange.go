package usage

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/share"
)

// Verb is the verb under which a placer receives summaries. The request is a
// share.Summary, the response a wire.Empty.
const Verb = "usage"

const (
	// maxPeers is the maximum number of placers that get summaries. If the fleet
	// has more, only placers of the same zone get them.
	maxPeers = 24
	// parallelCalls is the maximum number of concurrent calls.
	parallelCalls = 8
	// callTimeout is the timeout of one call.
	callTimeout = time.Second
	// minPeriod is the minimum time between two summaries.
	minPeriod = time.Second
	// byteRate is the maximum rate in bytes per second at which a placer sends
	// summaries, unless share.Period requires more. It receives at the same rate.
	byteRate = 6 * 1024
)

// Exchange sends and receives summaries. A peer that already has the current
// usage gets it again only after share.Period.
type Exchange struct {
	self   Peer
	epoch  uint64
	sched  Scheduler
	caller Caller
	pacer  Pacer
	peers  func() []Peer

	mu         sync.Mutex            // guards peerStates and the states in it
	peerStates map[string]*peerState // by peer name

	// Only Run uses the fields below.
	seq      uint64        // of the latest summary
	last     share.Summary // the latest summary, without Placer, Epoch and Seq
	revision uint64        // increases when the usage changes
	elapsed  time.Duration // time that Run has slept
}

// New returns an Exchange for the placer self, whose process has the given
// epoch. peers returns all other known placers of all zones.
func New(self Peer, epoch uint64, s Scheduler, c Caller, p Pacer, peers func() []Peer) *Exchange {
	return &Exchange{self: self, epoch: epoch, sched: s, caller: c, pacer: p, peers: peers, peerStates: make(map[string]*peerState)}
}

// Handle serves a call of Verb.
func (x *Exchange) Handle(_ context.Context, s *link.Stream) error {
	var in share.Summary
	if err := s.Recv(&in); err != nil {
		return err
	}
	if in.Placer != x.self.Name {
		x.sched.Merge(in)
		x.markSeen(&in)
	}
	return s.Send(wire.Empty{})
}

// Run sends summaries until ctx is done. It always returns nil.
func (x *Exchange) Run(ctx context.Context) error {
	for period := minPeriod; x.pacer.Sleep(ctx, period) == nil; {
		x.elapsed += period
		period = x.broadcast(ctx)
	}
	return nil
}

// broadcast sends one summary to the peers that need it and returns the time
// until the next one.
func (x *Exchange) broadcast(ctx context.Context) time.Duration {
	s := x.sched.Summary()
	if x.revision == 0 || s.Capacity != x.last.Capacity || !slices.Equal(s.Teams, x.last.Teams) {
		x.last = s
		x.revision++
	}
	x.seq++
	s.Placer, s.Epoch, s.Seq = x.self.Name, x.epoch, x.seq
	peers := x.recipients()
	var g errgroup.Group
	g.SetLimit(parallelCalls)
	for _, p := range x.due(peers) {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			var out wire.Empty
			if x.caller.Call(ctx, p.Link, Verb, s, &out) == nil {
				x.markSent(p)
			}
			return nil
		})
	}
	_ = g.Wait() // a failed call needs no retry: the next summary contains the whole usage
	return period(len(peers), &s)
}

// recipients returns the peers that get summaries.
func (x *Exchange) recipients() []Peer {
	all := x.peers()
	if len(all) <= maxPeers {
		return all
	}
	near := make([]Peer, 0, maxPeers)
	for _, p := range all {
		if p.Zone == x.self.Zone && len(near) < maxPeers {
			near = append(near, p)
		}
	}
	return near
}

// period returns the time between two summaries of this size that keeps the
// traffic to this number of peers within byteRate.
func period(peers int, s *share.Summary) time.Duration {
	b, err := cbor.Marshal(s)
	if err != nil {
		return share.Period
	}
	d := time.Duration(math.Ceil(float64(len(b)*peers) / byteRate * float64(time.Second)))
	return min(max(d, minPeriod), share.Period)
}
