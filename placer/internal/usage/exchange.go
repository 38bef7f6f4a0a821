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

// Verb is under which a placer serves summaries: share.Summary in, wire.Empty
// out.
const Verb = "usage"

const (
	// maxPeers is how many placers are told at most: all of the fleet if there
	// are no more, else those of the own zone.
	maxPeers = 24
	// parallelCalls bounds how many are told at a time.
	parallelCalls = 8
	// callTimeout bounds one call.
	callTimeout = time.Second
	// minPeriod is the shortest time between two summaries.
	minPeriod = time.Second
	// byteRate is how many bytes a second of summaries a placer sends at most,
	// as far as share.Period lets it. It receives as many.
	byteRate = 6 * 1024
)

// Exchange tells summaries and takes them in. A peer that was told what hasn't
// changed since is told again only after share.Period.
type Exchange struct {
	self   Peer
	epoch  uint64
	sched  Scheduler
	caller Caller
	pacer  Pacer
	peers  func() []Peer

	mu   sync.Mutex           // guards told, with what it points to
	told map[string]*lastWord // by the name of the peer

	// Only Run uses the fields below.
	seq   uint64        // of the last summary
	last  share.Summary // without its number
	state uint64        // goes up when what teams use changes
	age   time.Duration // how long Run has slept
}

// New returns an Exchange for the placer self, whose process has that epoch.
// peers names all other placers that are known, in all zones.
func New(self Peer, epoch uint64, s Scheduler, c Caller, p Pacer, peers func() []Peer) *Exchange {
	return &Exchange{self: self, epoch: epoch, sched: s, caller: c, pacer: p, peers: peers, told: make(map[string]*lastWord)}
}

// Handle serves Verb.
func (x *Exchange) Handle(_ context.Context, s *link.Stream) error {
	var in share.Summary
	if err := s.Recv(&in); err != nil {
		return err
	}
	if in.Placer != x.self.Name {
		x.sched.Merge(in)
		x.heard(&in)
	}
	return s.Send(wire.Empty{})
}

// Run tells summaries until ctx ends. It always returns nil.
func (x *Exchange) Run(ctx context.Context) error {
	for period := minPeriod; x.pacer.Sleep(ctx, period) == nil; {
		x.age += period
		period = x.tell(ctx)
	}
	return nil
}

// tell sends one summary to those that need it and returns when the next one
// is due.
func (x *Exchange) tell(ctx context.Context) time.Duration {
	s := x.sched.Summary()
	if x.state == 0 || s.Capacity != x.last.Capacity || !slices.Equal(s.Teams, x.last.Teams) {
		x.last = s
		x.state++
	}
	x.seq++
	s.Placer, s.Epoch, s.Seq = x.self.Name, x.epoch, x.seq
	peers := x.near()
	var g errgroup.Group
	g.SetLimit(parallelCalls)
	for _, p := range x.due(peers) {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			var out wire.Empty
			if x.caller.Call(ctx, p.Link, Verb, s, &out) == nil {
				x.took(p)
			}
			return nil
		})
	}
	_ = g.Wait() // the next summary says it all again
	return period(len(peers), &s)
}

// near returns who is told.
func (x *Exchange) near() []Peer {
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

// period returns the time between two summaries of that size to so many peers.
func period(peers int, s *share.Summary) time.Duration {
	b, err := cbor.Marshal(s)
	if err != nil {
		return share.Period
	}
	d := time.Duration(math.Ceil(float64(len(b)*peers) / byteRate * float64(time.Second)))
	return min(max(d, minPeriod), share.Period)
}
