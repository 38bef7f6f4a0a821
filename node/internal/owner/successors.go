package owner

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/node/internal/board"
)

const (
	// maxSuccessors is how many successors an owner names. Losing the owner and more
	// than two other hosts at a time is rare, and all remaining hosts rank after these.
	maxSuccessors = 3
	// successorsInterval is how often the owner checks whether its successors respond.
	successorsInterval = 500 * time.Millisecond
	// probeBatch is how many candidates are probed at the same time.
	probeBatch = 2 * maxSuccessors
	// minTermTime is the least time from the start of a term until the cell is handed over
	// to a better host, so that a takeover settles first.
	minTermTime = time.Second
	// overloadHandoverInterval is the least time between two handovers of a host because of
	// overload. If the cell is too much for every host, moving it only costs more.
	overloadHandoverInterval = 20 * time.Second
)

// successors returns the hosts that should take over from this owner, in order.
func (t *term) successors() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.successorHosts
}

// updateSuccessors keeps the list of successors up to date until ctx ends, and hands the
// cell over to one of them that is better suited. It always returns nil, so that it can be a
// member of a group.
func (t *term) updateSuccessors(ctx context.Context) error {
	for ctx.Err() == nil {
		chosen := t.chooseSuccessors()
		requested := t.setSuccessors(chosen)
		if !requested {
			if cause := t.betterOwner(chosen); cause != nil {
				t.requestHandover(cause, []board.Host{chosen[0].host})
			}
		}
		_ = t.owner.clock.Sleep(ctx, successorsInterval)
	}
	return nil
}

// setSuccessors sets the list of successors and reports whether a hand-over is under way.
func (t *term) setSuccessors(chosen []successor) bool {
	names := make([]string, 0, len(chosen))
	for _, c := range chosen {
		names = append(names, c.host.Name)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !slices.Equal(names, t.successorHosts) {
		t.owner.logger.Info("successors chosen", zap.Int64("epoch", t.epoch), zap.Strings("hosts", names))
	}
	t.successorHosts, t.chosen = names, chosen
	return t.handover != nil
}

// successor is a host that responded to a probe.
type successor struct {
	host     board.Host
	prepared bool // it could take over at once
}

// chooseSuccessors returns the first maxSuccessors candidates that respond. Some more than
// needed are probed at the same time, since many hosts may have been lost together.
func (t *term) chooseSuccessors() []successor {
	o := t.owner
	candidates := o.candidates(t.epoch)
	var out []successor
	for len(candidates) > 0 && len(out) < maxSuccessors {
		batch := candidates[:min(probeBatch, len(candidates))]
		candidates = candidates[len(batch):]
		replies := make([]*probeReply, len(batch))
		var g errgroup.Group
		for i, h := range batch {
			g.Go(func() error { replies[i] = o.probeHost(h); return nil })
		}
		_ = g.Wait() // It never fails.
		for i, reply := range replies {
			if reply != nil && !reply.Stopping && len(out) < maxSuccessors {
				out = append(out, successor{host: batch[i], prepared: reply.Prepared})
			}
		}
	}
	return out
}

// betterOwner returns why the cell should be handed over to the first of the successors, or
// nil. A more powerful host gets it: a less powerful one takes over only while no other
// responds, after many were lost. An overloaded owner hands over to a host that is as
// powerful, since something may slow down its own.
func (t *term) betterOwner(chosen []successor) error {
	o := t.owner
	self, ok := o.board.Host(o.host)
	if !ok || len(chosen) == 0 || !chosen[0].prepared || o.clock.Now().Sub(t.began) < minTermTime {
		return nil
	}
	t.mu.Lock()
	overloaded := t.lag.overloaded()
	unsettled := !t.loaded || t.resigning || o.clock.Boot()-t.writeConfirmed > t.authority || o.clock.Now().Before(t.noHandoverBefore) // A resignation may fail.
	t.mu.Unlock()
	next := chosen[0].host
	switch {
	case unsettled:
		return nil
	case next.Power > self.Power:
		return &HandoverError{Host: next.Name, Reason: "more powerful"}
	case overloaded && next.Power == self.Power && o.clock.Boot() >= o.nextOverloadHandover:
		o.nextOverloadHandover = o.clock.Boot() + overloadHandoverInterval
		return &HandoverError{Host: next.Name, Reason: "this host is overloaded"}
	}
	return nil
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
	return reserveForRestarted(hosts, self)
}

// reserveForRestarted moves the first host that has begun after self up to the last of the successors, unless it
// is less powerful than the first of all. While all hosts are stopped in turn, it has been stopped already, and
// an owner there stays.
func reserveForRestarted(hosts []board.Host, self board.Host) []board.Host {
	at := slices.IndexFunc(hosts, func(h board.Host) bool { return restartedAfter(h, self) })
	if at < maxSuccessors || hosts[at].Power < hosts[0].Power {
		return hosts
	}
	h := hosts[at]
	return slices.Insert(slices.Delete(hosts, at, at+1), maxSuccessors-1, h)
}

// restartedAfter reports whether a host's process has begun after that of self.
func restartedAfter(h, self board.Host) bool { return self.Started > 0 && h.Started > self.Started }

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
func (o *Owner) responds(h board.Host) bool { return o.probeHost(h) != nil }

// probeHost returns a host's reply to an ownership probe, nil if there is none.
func (o *Owner) probeHost(h board.Host) *probeReply {
	if o.node == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	var v probeReply
	if o.node.Call(ctx, h.Link, probeVerb, &probe{}, &v) != nil {
		return nil
	}
	return &v
}
