package owner

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/node/internal/board"
)

const (
	probeVerb = "owner"
	// probeAfter is how long an owner may write nothing until it is asked whether
	// it still owns the cell: more than a heartbeat and a slow write.
	probeAfter = 300 * time.Millisecond
	// probeTimeout bounds the question; an answer within a deployment takes some
	// milliseconds.
	probeTimeout = 200 * time.Millisecond
	// yieldAfter is how long its ownership may be unconfirmed until an owner gives
	// it up to a host that reaches the store: longer than it takes to find the way
	// through another host.
	yieldAfter = 800 * time.Millisecond
)

// YieldError ends a term because another host reaches the store and this one
// doesn't.
type YieldError struct{ Epoch int64 }

// Error implements error.
func (e *YieldError) Error() string { return "ownership is given up, since the store can't be reached" }

// probe asks an owner whether it still is one.
type probe struct {
	Epoch int64 `cbor:"1,keyasint"`
}

// verdict is its answer.
type verdict struct {
	Yields bool `cbor:"1,keyasint"` // the epoch has ended or ends now
}

// finding is what is known of an owner that writes nothing.
type finding int

const (
	alive    finding = iota // it writes, or says that it still owns
	yielding                // it owns no longer
	silent                  // it doesn't answer
)

// Mount serves other hosts' questions by node.
func (o *Owner) Mount(node *link.Node) {
	o.node = node
	node.Handle(probeVerb, link.HandlerFunc(func(_ context.Context, s *link.Stream) error {
		var p probe
		if err := s.Recv(&p); err != nil {
			return err
		}
		return s.Send(&verdict{Yields: o.yields(p.Epoch)})
	}))
	node.Handle(offerVerb, link.HandlerFunc(o.offered))
	node.Handle(newsVerb, link.HandlerFunc(o.hearNews))
	node.Handle(keepVerb, link.HandlerFunc(o.keepFor))
	node.Handle(stateVerb, link.HandlerFunc(o.tellState))
}

// yields reports whether this host doesn't own the cell under epoch any more. It
// gives ownership up if the store hasn't confirmed it for a while.
func (o *Owner) yields(epoch int64) bool {
	t := o.current()
	if t == nil || t.epoch != epoch {
		return true
	}
	t.mu.Lock()
	age := o.clock.Boot() - t.confirmedAt()
	t.mu.Unlock()
	if age < yieldAfter {
		return false
	}
	t.end(&YieldError{Epoch: epoch})
	return true
}

// examine finds out about an owner whose row hasn't changed for a while, once for
// each version of it if the owner is silent. The row is read first, which also
// shows that this host reaches the store.
func (o *Owner) examine(row board.Owner, version int64) finding {
	if version == o.mute {
		return silent
	}
	rows, _, err := o.store.Read(board.Table, board.Main, board.OwnerKey, board.OwnerKey+"\x00")
	if err != nil || len(rows) == 0 || rows[0].Version != version {
		return alive
	}
	h, ok := o.board.Host(row.Host)
	if !ok || o.node == nil {
		return silent
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var v verdict
	err = o.node.Call(ctx, h.Link, probeVerb, &probe{Epoch: row.Epoch}, &v)
	o.logger.Info("owner probed", zap.String("owner", row.Host), zap.Int64("epoch", row.Epoch), zap.Bool("yields", v.Yields), zap.Error(err))
	switch {
	case err != nil:
		o.mute = version
		return silent
	case v.Yields:
		return yielding
	}
	return alive
}
