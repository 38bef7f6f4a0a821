package jobs

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/placer/internal/sched"
)

// maxUnanswered is the number of consecutive unanswered rounds after which a
// gang's reservations, or an offload, are given up.
const maxUnanswered = 4

// reserveTimeout bounds one call about a reservation. All calls of a round take
// less than reservationTTL unless several placers don't answer.
const reserveTimeout = time.Second

// reserveState is the state of a gang's reservations after a round.
type reserveState int

const (
	statePending reserveState = iota
	stateReady                // all tasks have capacity, for reservationTTL from the round's start
	stateFailed               // the gang has to be split again
)

// gangReserver reserves capacity for one gang at several placers. It must not be
// used concurrently.
type gangReserver struct {
	item       sched.Item
	epoch      uint64 // of the driver
	shares     []share
	lockPlacer func() string // returns the placer that runs the gang lock
	send       func(ctx context.Context, placer string, n *peerRequest) (peerReply, error)

	requested  bool // a reserveRequest has been sent since the last release
	unanswered int  // consecutive rounds with an unanswered call
}

// call sends a request that the placer answers without waiting.
func (g *gangReserver) call(ctx context.Context, placer string, req *peerRequest) (peerReply, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	return g.send(ctx, placer, req)
}

// round acquires or renews the gang lock and all reservations. The requests are
// idempotent, so the next round makes up for a lost answer. Without the lock it
// releases the reservations.
func (g *gangReserver) round(ctx context.Context) reserveState {
	out, err := g.call(ctx, g.lockPlacer(), &peerRequest{Lock: &lockRequest{ID: g.item.ID}})
	if err != nil || !out.Done {
		g.release(ctx)
		return statePending
	}
	g.requested = true
	all, lost := true, false
	for i := range g.shares {
		s := &g.shares[i]
		out, err := g.call(ctx, s.placer, &peerRequest{Reserve: newReserveRequest(&g.item, g.epoch, s.numbers)})
		if err == nil && out.Rejected {
			return stateFailed
		}
		s.grants = out.Grants
		all = all && err == nil && len(s.grants) == len(s.numbers)
		lost = lost || err != nil
	}
	if g.unanswered++; !lost {
		g.unanswered = 0
	}
	switch {
	case all:
		return stateReady
	case g.unanswered >= maxUnanswered:
		return stateFailed
	}
	return statePending
}

// release ends all reservations. One whose placer can't be reached expires.
func (g *gangReserver) release(ctx context.Context) {
	if !g.requested {
		return
	}
	g.requested = false
	for i := range g.shares {
		req := newReserveRequest(&g.item, g.epoch, g.shares[i].numbers)
		req.Release = true
		_, _ = g.call(ctx, g.shares[i].placer, &peerRequest{Reserve: req})
	}
}

// unlock releases the gang lock.
func (g *gangReserver) unlock(ctx context.Context) {
	_, _ = g.call(ctx, g.lockPlacer(), &peerRequest{Lock: &lockRequest{ID: g.item.ID, Release: true}})
}
