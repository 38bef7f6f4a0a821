package daemon

import (
	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// policyOf returns the scheduler policy of a version of the configuration. The
// scheduler has one policy for all queues. If the queues' policies differ, the
// aim "share" takes precedence over "wait", the largest headroom applies, and
// preemption is on if any queue has it.
func policyOf(s *config.Snapshot) sched.Policy {
	p := sched.Policy{Aim: sched.AimWait, Teams: make(map[string]sched.Team), Queues: make(map[string]sched.Queue)}
	for _, name := range s.Teams() {
		p.Teams[name] = sched.Team{Weight: s.Weight(name)}
	}
	for _, ref := range s.Set().Refs() {
		if ref.Type != config.TypeQueue {
			continue
		}
		q, _ := s.Queue(ref.Name)
		p.Queues[q.Name] = sched.Queue{Bound: q.Bound}
		rule := s.QueuePolicy(q.Name)
		if rule.Aim() == config.AimShare {
			p.Aim = sched.AimShare
		}
		p.Headroom = max(p.Headroom, rule.Headroom())
		p.Preempt = p.Preempt || rule.Preempt()
	}
	return p
}

// refusalReason returns the reason code if the current version of the
// configuration doesn't allow the request, or an empty string if it does. A
// request that was admitted under a later version isn't checked.
func (d *Daemon) refusalReason(req *wire.Request) string {
	s := d.follower.Current()
	if s == nil || s.Version() < req.Version {
		return ""
	}
	q, ok := s.Queue(req.Queue)
	if !ok || !q.Takes(req.Kind) {
		return wire.ReasonQueue
	}
	if req.Team == "" && !q.Open {
		return wire.ReasonKey
	}
	if req.Team != "" && s.Weight(req.Team) == 0 {
		return wire.ReasonKey
	}
	if !q.Allows(req.Team) && !q.Open {
		return wire.ReasonQueue
	}
	return ""
}
