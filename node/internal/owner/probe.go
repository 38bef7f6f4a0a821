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
	// probeAfter is how long an owner may go without a write before it is probed. It is
	// longer than a heartbeat interval and a slow write.
	probeAfter = 300 * time.Millisecond
	// probeTimeout bounds a probe. A response within a deployment takes a few
	// milliseconds.
	probeTimeout = 200 * time.Millisecond
	// yieldAfter is how long an owner's ownership may be unconfirmed before it yields to
	// a probing host, which can reach the store. It is longer than rerouting store
	// access through another host takes.
	yieldAfter = 800 * time.Millisecond
)

// YieldError is the cause of a term's end when this host can't reach the store and
// another host can.
type YieldError struct{ Epoch int64 }

// Error implements error.
func (e *YieldError) Error() string { return "ownership given up: store not reachable" }

// probe asks a host whether it still owns the cell under an epoch.
type probe struct {
	Epoch int64 `cbor:"1,keyasint"`
}

// probeReply is the response to a probe.
type probeReply struct {
	Yields   bool `cbor:"1,keyasint"`           // the term of that epoch has ended or ends now
	Prepared bool `cbor:"2,keyasint,omitempty"` // the host could take over at once
	Stopping bool `cbor:"3,keyasint,omitempty"` // the host's process is about to end
}

// ownerStatus is what a probe found out about an owner that has stopped writing.
type ownerStatus int

const (
	alive    ownerStatus = iota // it has written again or responded that it still owns the cell, or its row can't be read
	yielding                    // it no longer owns the cell
	silent                      // it doesn't respond or its address isn't known
)

// Mount registers the handlers for calls from other hosts at node, and uses node for
// calls to other hosts.
func (o *Owner) Mount(node *link.Node) {
	o.node = node
	node.Handle(probeVerb, link.HandlerFunc(func(_ context.Context, s *link.Stream) error {
		var p probe
		if err := s.Recv(&p); err != nil {
			return err
		}
		return s.Send(&probeReply{Yields: o.yields(p.Epoch), Prepared: o.prepared.Load(), Stopping: o.stopping.Load()})
	}))
	node.Handle(offerVerb, link.HandlerFunc(o.serveOffer))
	node.Handle(stateVerbPut, link.HandlerFunc(o.serveStatePut))
	node.Handle(notifyVerb, link.HandlerFunc(o.serveNotification))
	node.Handle(createVerb, link.HandlerFunc(o.serveCreate))
	node.Handle(stateVerb, link.HandlerFunc(o.serveState))
}

// yields reports whether this host doesn't own the cell under epoch any more. If the
// store hasn't confirmed ownership for yieldAfter, it ends the term first.
func (o *Owner) yields(epoch int64) bool {
	t := o.currentTerm()
	if t == nil || t.epoch != epoch {
		return true
	}
	t.mu.Lock()
	age := o.clock.Boot() - t.lastConfirmed()
	t.mu.Unlock()
	if age < yieldAfter {
		return false
	}
	t.cancel(&YieldError{Epoch: epoch})
	return true
}

// probeOwner probes an owner whose row hasn't changed for a while. An owner that doesn't
// respond is probed only once per version of its row. The row is read from the store
// first, which also checks that this host reaches the store.
func (o *Owner) probeOwner(row board.Owner, version int64) ownerStatus {
	if version == o.unresponsiveVersion {
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
	var v probeReply
	err = o.node.Call(ctx, h.Link, probeVerb, &probe{Epoch: row.Epoch}, &v)
	o.logger.Info("owner probed", zap.String("owner", row.Host), zap.Int64("epoch", row.Epoch), zap.Bool("yields", v.Yields), zap.Error(err))
	switch {
	case err != nil:
		o.unresponsiveVersion = version
		return silent
	case v.Yields:
		return yielding
	}
	return alive
}
