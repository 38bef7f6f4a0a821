package jobs

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/placer/internal/sched"
)

// maxMute is how many rounds in a row a placer may leave unanswered before
// what was booked is given back.
const maxUnanswered = 4

// sayTimeout bounds one word about a booking. All of a round take less than
// bookTime unless several placers are silent.
const reserveTimeout = time.Second

// gathered is how a gathering stands.
type reserveState int

const (
	statePending reserveState = iota
	stateReady                // there is room for all, kept for bookTime from the round's start
	stateFailed               // it can't be had in this way
)

// gathering books room for a gang at several placers. It is used by one
// goroutine at a time.
type gangReserver struct {
	item       sched.Item
	epoch      uint64 // of the driver
	shares     []share
	lockPlacer func() string // which placer gives turns
	send       func(ctx context.Context, placer string, n *peerRequest) (peerReply, error)

	requested  bool // a word that asks for room has been sent since the last drop
	unanswered int  // rounds in a row with an unanswered word
}

// say tells a placer something that is answered at once.
func (g *gangReserver) call(ctx context.Context, placer string, n *peerRequest) (peerReply, error) {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	return g.send(ctx, placer, n)
}

// round asks for the turn and for all room once more. Answers that are lost
// are given again in the next round.
func (g *gangReserver) round(ctx context.Context) reserveState {
	out, err := g.call(ctx, g.lockPlacer(), &peerRequest{Lock: &lockRequest{ID: g.item.ID}})
	if err != nil || !out.Done {
		g.release(ctx)
		return statePending
	}
	g.requested = true
	all, mute := true, false
	for i := range g.shares {
		p := &g.shares[i]
		out, err := g.call(ctx, p.placer, &peerRequest{Reserve: newReserveRequest(&g.item, g.epoch, p.numbers)})
		if err == nil && out.Rejected {
			return stateFailed
		}
		p.grants = out.Grants
		all = all && err == nil && len(p.grants) == len(p.numbers)
		mute = mute || err != nil
	}
	if g.unanswered++; !mute {
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

// drop gives all room back. What the word doesn't reach ends by itself.
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

// end gives the turn back.
func (g *gangReserver) unlock(ctx context.Context) {
	_, _ = g.call(ctx, g.lockPlacer(), &peerRequest{Lock: &lockRequest{ID: g.item.ID, Release: true}})
}
