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
	// successorsKept is how many hosts an owner names that take over first; more
	// than two lost at a time with the owner are rare, and the others come after.
	successorsKept = 3
	// successorsPeriod is how often the owner looks whether they live.
	successorsPeriod = 500 * time.Millisecond
)

// successors returns the hosts that are to take over from this owner, in order.
func (t *term) successors() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heirs
}

// watchSuccessors keeps the list of successors until ctx ends. It always returns
// nil, so that it can be a member of a group.
func (t *term) watchSuccessors(ctx context.Context) error {
	for ctx.Err() == nil {
		names := t.choose()
		t.mu.Lock()
		changed := !slices.Equal(names, t.heirs)
		t.heirs = names
		t.mu.Unlock()
		if changed {
			t.owner.logger.Info("successors chosen", zap.Int64("epoch", t.epoch), zap.Strings("hosts", names))
		}
		_ = t.owner.clock.Sleep(ctx, successorsPeriod)
	}
	return nil
}

// choose returns the hosts that come first and answer.
func (t *term) choose() []string {
	o := t.owner
	var out []string
	for _, h := range o.candidates(t.epoch) {
		if len(out) == successorsKept {
			break
		}
		if o.answers(h) {
			out = append(out, h.Name)
		}
	}
	return out
}

// candidates returns the other hosts in the order in which they should take over:
// those with more processor time first, among like ones those of other zones,
// which a loss of this host's zone spares.
func (o *Owner) candidates(epoch int64) []board.Host {
	self, _ := o.board.Host(o.host)
	hosts := slices.DeleteFunc(o.board.Hosts(), func(h board.Host) bool { return h.Name == o.host })
	slices.SortFunc(hosts, func(a, b board.Host) int {
		return cmp.Or(cmp.Compare(b.Power, a.Power), compareBool(a.Zone == self.Zone, b.Zone == self.Zone),
			cmp.Compare(weight(a.Name, epoch), weight(b.Name, epoch)))
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

// answers reports whether a host answers questions about ownership.
func (o *Owner) answers(h board.Host) bool {
	if o.node == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var v verdict
	return o.node.Call(ctx, h.Link, probeVerb, &probe{}, &v) == nil
}
