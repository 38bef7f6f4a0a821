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
	// offerTimeout bounds the offer to one successor; an answer within a
	// deployment takes some milliseconds.
	offerTimeout = 150 * time.Millisecond
)

// handover is ownership that its owner gives up for a successor.
type handover struct {
	Row     board.Owner `cbor:"1,keyasint"` // resigned
	Version int64       `cbor:"2,keyasint"` // of the row
}

// taken answers it.
type taken struct {
	Taken bool `cbor:"1,keyasint"`
}

// offer tells the successors of a row, which this host has resigned, that they may
// take over at once. Without their answers the board tells them a little later.
func (o *Owner) offer(row board.Owner, version int64) {
	if o.node == nil {
		return
	}
	for _, name := range row.Successors {
		h, ok := o.board.Host(name)
		if !ok {
			continue
		}
		ctx, cancel := context.WithTimeout(context.Background(), offerTimeout)
		var t taken
		err := o.node.Call(ctx, h.Link, offerVerb, &handover{Row: row, Version: version}, &t)
		cancel()
		o.logger.Info("ownership offered", zap.String("to", name), zap.Int64("epoch", row.Epoch), zap.Bool("taken", t.Taken), zap.Error(err))
		if err == nil && t.Taken {
			return
		}
	}
}

// offered serves another host's offer.
func (o *Owner) offered(_ context.Context, s *link.Stream) error {
	var h handover
	if err := s.Recv(&h); err != nil {
		return err
	}
	t := taken{}
	if o.ready.Load() {
		select {
		case o.offers <- h:
			t.Taken = true
		default: // Another one is being taken.
		}
	}
	return s.Send(&t)
}

// await returns when it is time to look whether to take over, with an offer of
// ownership if there is one.
func (o *Owner) await(ctx context.Context) *handover {
	o.ready.Store(true)
	defer o.ready.Store(false)
	next := make(chan struct{})
	t := o.clock.After(checkPeriod, func() { close(next) })
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-next:
	case h := <-o.offers:
		return &h
	}
	return nil
}

// accept takes over what its owner offered.
func (o *Owner) accept(ctx context.Context, g *errgroup.Group, h *handover) {
	if h.Row.Resigned && h.Row.Epoch > o.ruled && h.Row.Format <= board.Format {
		o.take(ctx, g, h.Row, h.Version)
	}
}
