package daemon

import (
	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// policyOf returns what a version of the configuration asks of the scheduler.
// Where the queues' policies differ, the scheduler, which decides for all of
// them, takes nearness to shares before waiting time and the larger headroom.
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

// refusal returns why a request may not run under the version in force here,
// or an empty reason. A request that was admitted under a later version is
// taken as it is.
func (d *Daemon) refusal(req *wire.Request) string {
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
