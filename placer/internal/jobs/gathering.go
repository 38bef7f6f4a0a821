package jobs

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/placer/internal/sched"
)

// maxMute is how many rounds in a row a placer may leave unanswered before
// what was booked is given back.
const maxMute = 4

// sayTimeout bounds one word about a booking. All of a round take less than
// bookTime unless several placers are silent.
const sayTimeout = time.Second

// gathered is how a gathering stands.
type gathered int

const (
	waits  gathered = iota
	ready           // there is room for all, kept for bookTime from the round's start
	failed          // it can't be had in this way
)

// gathering books room for a gang at several placers. It is used by one
// goroutine at a time.
type gathering struct {
	item   sched.Item
	epoch  uint64 // of the driver
	shares []portion
	keeper func() string // which placer gives turns
	tell   func(ctx context.Context, placer string, n *note) (noted, error)

	booking bool // a word that asks for room has been sent since the last drop
	mute    int  // rounds in a row with an unanswered word
}

// say tells a placer something that is answered at once.
func (g *gathering) say(ctx context.Context, placer string, n *note) (noted, error) {
	ctx, cancel := context.WithTimeout(ctx, sayTimeout)
	defer cancel()
	return g.tell(ctx, placer, n)
}

// round asks for the turn and for all room once more. Answers that are lost
// are given again in the next round.
func (g *gathering) round(ctx context.Context) gathered {
	out, err := g.say(ctx, g.keeper(), &note{Turn: &ask{ID: g.item.ID}})
	if err != nil || !out.Done {
		g.drop(ctx)
		return waits
	}
	g.booking = true
	all, mute := true, false
	for i := range g.shares {
		p := &g.shares[i]
		out, err := g.say(ctx, p.placer, &note{Book: newBook(&g.item, g.epoch, p.numbers)})
		if err == nil && out.Void {
			return failed
		}
		p.kept = out.Kept
		all = all && err == nil && len(p.kept) == len(p.numbers)
		mute = mute || err != nil
	}
	if g.mute++; !mute {
		g.mute = 0
	}
	switch {
	case all:
		return ready
	case g.mute >= maxMute:
		return failed
	}
	return waits
}

// drop gives all room back. What the word doesn't reach ends by itself.
func (g *gathering) drop(ctx context.Context) {
	if !g.booking {
		return
	}
	g.booking = false
	for i := range g.shares {
		b := newBook(&g.item, g.epoch, g.shares[i].numbers)
		b.Drop = true
		_, _ = g.say(ctx, g.shares[i].placer, &note{Book: b})
	}
}

// end gives the turn back.
func (g *gathering) end(ctx context.Context) {
	_, _ = g.say(ctx, g.keeper(), &note{Turn: &ask{ID: g.item.ID, Over: true}})
}
