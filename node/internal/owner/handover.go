package owner

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/node/internal/board"
)

const (
	offerVerb = "take"
	// offerTimeout bounds the offer to one successor. A response within a deployment
	// takes a few milliseconds.
	offerTimeout = 150 * time.Millisecond
)

// handover offers ownership to a successor.
type handover struct {
	Row     board.Owner `cbor:"1,keyasint"` // the resigning owner's row
	Version int64       `cbor:"2,keyasint"` // of the row
	// State is the ID of the state that the first successor holds, empty if there is none.
	State string `cbor:"3,keyasint,omitempty"`
	// StateAge is for how long the state had existed when the sender learned that it is held. Zero
	// if that isn't known: earlier programs don't send it.
	StateAge time.Duration `cbor:"4,keyasint,omitempty"`
}

// offerReply is the response to a handover.
type offerReply struct {
	Taken bool `cbor:"1,keyasint"`
}

// offer offers ownership to the successors in row, in order, until one accepts, and returns its
// name. The row is this host's resignation. The first successor holds the state that is named, if it
// isn't empty. Successors that get no offer see the resignation on the board a little later.
func (o *Owner) offer(row board.Owner, version int64, state putOutcome) string {
	if o.node == nil {
		return ""
	}
	for _, name := range row.Successors {
		h, ok := o.board.Host(name)
		if !ok {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
		var t offerReply
		err := o.node.Call(ctx, h.Link, offerVerb, &handover{Row: row, Version: version, State: state.id, StateAge: state.age}, &t)
		cancel()
		o.logger.Info("ownership offered", zap.String("to", name), zap.Int64("epoch", row.Epoch), zap.Bool("taken", t.Taken), zap.Error(err))
		if err == nil && t.Taken {
			return name
		}
		state = putOutcome{}
	}
	return ""
}

// serveOffer handles offers from a resigning owner.
func (o *Owner) serveOffer(_ context.Context, s *link.Stream) error {
	var h handover
	if err := s.Recv(&h); err != nil {
		return err
	}
	t := offerReply{}
	if o.awaitingOffer.Load() && !o.stopping.Load() {
		select {
		case o.offers <- h:
			t.Taken = true
		default: // Another offer is being accepted.
		}
	}
	return s.Send(&t)
}

// awaitOffer waits for checkInterval and returns nil, or returns an offer of ownership
// as soon as there is one.
func (o *Owner) awaitOffer(ctx context.Context) *handover {
	o.awaitingOffer.Store(true)
	defer o.awaitingOffer.Store(false)
	next := make(chan struct{})
	t := o.clock.After(checkInterval, func() { close(next) })
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-next:
	case h := <-o.offers:
		return &h
	}
	return nil
}

// acceptOffer takes over the offered ownership, unless the offer is outdated or its row
// has a newer format.
func (o *Owner) acceptOffer(ctx context.Context, g *errgroup.Group, h *handover) {
	state := o.takeState(h)
	if h.Row.Resigned && h.Row.Epoch > o.lastEpoch && h.Row.Format <= board.Format {
		o.acquire(ctx, g, h.Row, h.Version, state)
	} else if state != nil {
		o.dropState(state, "the offer is outdated")
	}
}
