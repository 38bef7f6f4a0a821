package owner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/node/internal/board"
)

const (
	// maxSuccessors is how many successors an owner names. Losing the owner and more
	// than two other hosts at a time is rare, and all remaining hosts rank after these.
	maxSuccessors = 3
	// successorsInterval is how often the owner checks whether its successors respond.
	successorsInterval = 500 * time.Millisecond
)

// successors returns the hosts that should take over from this owner, in order.
func (t *term) successors() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.successorHosts
}

// updateSuccessors keeps the list of successors up to date until ctx ends. It always
// returns nil, so that it can be a member of a group.
func (t *term) updateSuccessors(ctx context.Context) error {
	for ctx.Err() == nil {
		names := t.chooseSuccessors()
		t.mu.Lock()
		changed := !slices.Equal(names, t.successorHosts)
		t.successorHosts = names
		t.mu.Unlock()
		if changed {
			t.owner.logger.Info("successors chosen", zap.Int64("epoch", t.epoch), zap.Strings("hosts", names))
		}
		_ = t.owner.clock.Sleep(ctx, successorsInterval)
	}
	return nil
}

// chooseSuccessors returns the first maxSuccessors candidates that respond.
func (t *term) chooseSuccessors() []string {
	o := t.owner
	var out []string
	for _, h := range o.candidates(t.epoch) {
		if len(out) == maxSuccessors {
			break
		}
		if o.responds(h) {
			out = append(out, h.Name)
		}
	}
	return out
}

// candidates returns the other hosts in the order in which they should take over. Hosts
// with more processor time come first; among equals, hosts of other zones, which
// survive the loss of this host's zone.
func (o *Owner) candidates(epoch int64) []board.Host {
	self, _ := o.board.Host(o.host)
	hosts := slices.DeleteFunc(o.board.Hosts(), func(h board.Host) bool { return h.Name == o.host })
	slices.SortFunc(hosts, func(a, b board.Host) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), compareBool(a.Zone == self.Zone, b.Zone == self.Zone),
			cmp.Compare(tieBreak(a.Name, epoch), tieBreak(b.Name, epoch)))
	})
	return hosts
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// responds reports whether a host responds to ownership probes.
func (o *Owner) responds(h board.Host) bool {
	if o.node == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var v probeReply
	return o.node.Call(ctx, h.Link, probeVerb, &probe{}, &v) == nil
}
