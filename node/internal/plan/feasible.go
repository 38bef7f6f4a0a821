package plan

import "time"

// The load: the waiting work of a service doesn't fit into its capacity, or that of a team under its
// limit, for longer than the objectives allow. In order of the latest starts each job then starts a
// little too late, and hardly one is in time. So at each sweep the jobs that are worth the least for
// their work are deferred, until the others can be in time. Where all waiting work fits, no mark is set.

// fullShare is the part of a capacity from which it counts as in full use. Some of it is always free
// between the end of a run and the next start.
const fullShare = 0.9

// markJobs marks the waiting jobs that can't be in time.
func (s *State) markJobs(now time.Time) {
	s.forecaster.services, s.forecaster.teams = nil, nil
	if s.keepOrder || !s.backlogged && len(s.candidates) == 0 && len(s.reservations) == 0 {
		return // The last decision left nothing waiting, and no mark is set.
	}
	s.floorsDecay(now)
	s.updateRatios()
	teams, services := make(map[string]*overload), make(map[string]*overload)
	unsettled := make(map[string]bool)
	if cap(s.candidates) < len(s.jobs) {
		s.candidates = make([]candidate, 0, 2*len(s.jobs))
	}
	s.candidates = s.candidates[:0]
	for _, j := range s.jobs {
		if j.phase.Final() {
			j.setMark(unmarked)
			continue
		}
		s.candidates = append(s.candidates, candidate{})
		c := &s.candidates[len(s.candidates)-1]
		service := j.queue.Service
		if _, known := unsettled[service]; !known {
			unsettled[service] = s.unsettled(service, now)
		}
		if unsettled[service] || !s.fillCandidate(c, j, now) {
			j.setMark(unmarked)
			s.candidates = s.candidates[:len(s.candidates)-1]
			continue
		}
		o := teams[j.spec.Team]
		if o == nil {
			o = s.teamOverload(j)
			teams[j.spec.Team] = o
		}
		if o.limited {
			o.add(c)
		}
	}
	for name, o := range teams {
		s.markTeam(s.team(name), o, now)
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		service := c.job.queue.Service
		o := services[service]
		if o == nil {
			o = &overload{cause: DeferredByRoom, jobs: make([]*candidate, 0, len(s.candidates))}
			services[service] = o
		}
		if c.mark != markDeferred {
			o.add(c)
		}
	}
	for name, o := range services {
		s.markService(name, o, now)
	}
	s.forecaster.services, s.forecaster.teams = overloaded(services), overloaded(teams)
	s.applyMarks()
	s.raiseFloors()
	s.reserve(now)
}

// fillCandidate sets what a job waits for. It returns false if the job has no work that is ready or no
// objective that might be missed.
func (s *State) fillCandidate(c *candidate, j *job, now time.Time) bool {
	*c = candidate{job: j, sizes: j.sizes, prior: j.mark, fixed: j.unbounded}
	objective := j.latencyObjective()
	if objective <= 0 {
		return false
	}
	if j.unbounded {
		for _, o := range j.occurs {
			c.addWork(o, objective, now)
		}
	} else if j.single != nil {
		c.addWork(j.single, objective, now) // Without the cost of a map for each job.
	}
	mean := c.sizes.mean()
	if c.cpu == 0 || c.work <= 0 {
		return false
	}
	c.value = 1
	if mean > 0 {
		c.value = baseValue + (1-baseValue)*j.size/mean
	}
	c.fixed = c.fixed || 2*c.work < j.sizes.ratio*j.size // It has run for the most part.
	s.classify(c, objective)
	return true
}

// addWork adds the waiting work of an occurrence.
func (c *candidate) addWork(o *occurrence, objective time.Duration, now time.Time) {
	for _, st := range o.stages {
		if st.waiting == 0 || st.spec.Filler || st.spec.Lasting {
			continue
		}
		taskTime := st.taskTime()
		work := float64(st.waiting) * float64(st.spec.Need.CPU) / 1000 * taskTime.Seconds()
		c.work += work
		if !o.ready(st) {
			continue
		}
		c.ready += work
		c.tasks += st.waiting
		c.wants += st.waitingCPU()
		c.fixed = c.fixed || st.spec.Gang && st.waiting < len(st.tasks)
		remaining := st.remainingPath()
		if st.spec.Estimate > 0 {
			remaining = time.Duration(float64(remaining) * taskTime.Seconds() / st.spec.Estimate.Seconds())
		}
		if slack := o.origin().Sub(now) + objective - remaining; c.cpu == 0 || slack < c.slack {
			c.slack = slack
		}
		c.cpu += int64(st.waiting) * st.spec.Need.CPU
	}
}

// classify sets the rank of a job and whether it can still meet its objective.
func (s *State) classify(c *candidate, objective time.Duration) {
	c.priority, c.due = c.job.queue.Priority, c.slack
	c.rank = c.priority
	if c.job.overQuota {
		c.rank += overQuotaRankPenalty
	}
	late := c.slack + (lateFactor-1)*objective
	switch {
	case c.fixed || c.slack >= 0:
	case late < 0:
		c.mark = markHopeless
		s.judge(c.job, 0)
	default:
		c.mark, c.late, c.slack, c.job.floored = markLate, true, late, false
		c.rank += missedRankPenalty
	}
}

// teamOverload returns an overload for the team of a job.
func (s *State) teamOverload(j *job) *overload {
	t := s.team(j.spec.Team)
	limit := s.limit(t, j.spec).CPU
	o := &overload{cause: DeferredByLimit}
	if limit > 0 {
		o.free = float64(max(0, limit-t.used.CPU)) / 1000
		o.rate = t.throughput.rate(float64(max(0, limit-t.lastingCPU)) / 1000)
		o.limited, o.full = true, float64(t.used.CPU) >= fullShare*float64(limit)
	}
	return o
}

// markTeam marks the jobs of a team whose ready work doesn't fit under its limit.
func (s *State) markTeam(t *team, o *overload, now time.Time) {
	if !o.limited {
		return
	}
	t.throughput.update(o.full, now)
	if o.cpu > o.free {
		o.exceeded = true
		o.mark()
		for _, c := range o.jobs {
			c.overloaded = true
		}
	}
}

// markService marks the jobs of a service whose ready work doesn't fit into its free capacity.
func (s *State) markService(name string, o *overload, now time.Time) {
	total, lasting := int64(0), int64(0)
	for _, e := range s.executors {
		if e.info.Service == name && s.schedulable(e, now) {
			total += e.info.Room.CPU
			lasting += e.lastingCPU
			o.free += float64(max(0, e.free().CPU)) / 1000
		}
	}
	t := s.serviceThroughput(name)
	t.update(o.free <= (1-fullShare)*float64(total)/1000, now)
	o.rate = t.rate(float64(max(0, total-lasting)) / 1000)
	if o.wants <= o.free {
		return
	}
	o.exceeded = true
	o.mark()
	for _, c := range o.jobs {
		c.overloaded = true
	}
}

// applyMarks gives the jobs the marks of this sweep.
func (s *State) applyMarks() {
	s.deferred.now = [deferralCount]int{}
	for i := range s.candidates {
		c := &s.candidates[i]
		m := c.mark
		if !c.overloaded || c.fixed {
			m = unmarked
		}
		c.job.setMark(m)
		c.job.floored = c.job.floored && c.overloaded
		if m != markDeferred && (m != markLate || c.due < 0) {
			continue
		}
		s.deferred.now[c.cause]++
		if c.prior == unmarked {
			s.deferred.begun[c.cause]++
		}
	}
}
