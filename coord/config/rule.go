package config

import "time"

// Rule is a resolved policy: each field comes from the policy, its base
// policies or the defaults.
type Rule struct {
	name     string
	aim      Aim
	grace    time.Duration
	headroom float64
	preempt  bool
	retries  int
}

// Name returns the policy's name; it is empty for the rule of queues without a
// policy.
func (r Rule) Name() string { return r.name }

// Aim returns what scheduling optimises first.
func (r Rule) Aim() Aim { return r.aim }

// Grace returns how long after Period keys are still accepted without a new
// confirmation.
func (r Rule) Grace() time.Duration { return r.grace }

// Headroom returns the fraction of the cell that is kept free for quick
// requests, from 0 to 1.
func (r Rule) Headroom() float64 { return r.headroom }

// Preempt reports whether quick requests may preempt batch tasks.
func (r Rule) Preempt() bool { return r.preempt }

// Retries returns how many times an idempotent request is retried.
func (r Rule) Retries() int { return r.retries }

// defaultRule returns the rule of a queue without a policy.
func defaultRule() Rule {
	return Rule{aim: AimWait, grace: DefaultGrace, headroom: defaultHeadroom, retries: defaultRetries}
}

// apply returns r with the fields that p sets.
func (r Rule) apply(p *Policy) Rule {
	r.name = p.Name
	if p.Aim != "" {
		r.aim = p.Aim
	}
	if p.Grace != nil {
		r.grace = time.Duration(*p.Grace)
	}
	if p.Headroom != nil {
		r.headroom = *p.Headroom
	}
	if p.Preempt != nil {
		r.preempt = *p.Preempt
	}
	if p.Retries != nil {
		r.retries = *p.Retries
	}
	return r
}

// ruleOf resolves a policy. The set must have been checked, so that the base
// policies have no cycle.
func ruleOf(s *Set, p *Policy) Rule {
	if p.Base == "" {
		return defaultRule().apply(p)
	}
	base, ok := s.objects[Ref{TypePolicy, p.Base}].(*Policy)
	if !ok {
		return defaultRule().apply(p)
	}
	return ruleOf(s, base).apply(p)
}
