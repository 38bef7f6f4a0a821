package plan

import (
	"container/heap"
	"maps"
	"slices"
)

// overload is a capacity for which jobs compete, during one sweep: that of a service, or what a team's
// limit leaves to it.
type overload struct {
	cause    Deferral
	jobs     []*candidate
	free     float64 // cores
	rate     float64 // core-seconds a second
	cpu      float64 // cores that ready work needs
	wants    float64 // of these, cores that no team's limit holds back
	ready    float64 // core-seconds of the ready work
	ahead    float64 // core-seconds of the work before and including the job that is looked at
	limited  bool    // there is a limit
	full     bool    // it is in full use
	exceeded bool    // ready work doesn't fit into what is free
}

// overloaded returns the overloads that were exceeded.
func overloaded(all map[string]*overload) map[string]*overload {
	maps.DeleteFunc(all, func(_ string, o *overload) bool { return !o.exceeded })
	return all
}

// add adds a job.
func (o *overload) add(c *candidate) {
	o.jobs = append(o.jobs, c)
	o.cpu += float64(c.cpu) / 1000
	o.wants += float64(c.wants) / 1000
	o.ready += c.ready
}

// mark marks the jobs that can't be in time, in the order in which work is served.
func (o *overload) mark() {
	lanes := make(map[int][]*candidate)
	for _, c := range o.jobs {
		if c.mark == markHopeless {
			continue
		}
		lane := lanes[c.rank]
		if lane == nil {
			lane = make([]*candidate, 0, len(o.jobs))
		}
		lanes[c.rank] = append(lane, c)
	}
	for len(lanes) > 0 {
		rank := slices.Min(slices.Collect(maps.Keys(lanes)))
		lane := lanes[rank]
		delete(lanes, rank)
		for _, c := range o.markLane(lane) {
			c.cause = o.cause
			if c.late {
				c.mark = markDeferred
				continue
			}
			c.late, c.out, c.mark = true, false, markLate
			c.slack += (lateFactor - 1) * c.job.latencyObjective()
			c.rank += missedRankPenalty
			lanes[c.rank] = append(lanes[c.rank], c)
		}
	}
}

// markLane returns the jobs of one rank that can't be in time. By the rule of Moore and Hodgson, it goes
// over the jobs in the order of their latest starts, and leaves out those worth the least for their
// work as soon as one would start too late.
func (o *overload) markLane(lane []*candidate) []*candidate {
	slices.SortFunc(lane, compareSlacks)
	atOnce := 0.0 // core-seconds of the work for which there is capacity now
	if o.cpu > 0 {
		atOnce = o.free * o.ready / o.cpu
	}
	kept := make(dispensable, 0, len(lane))
	for _, c := range lane {
		o.ahead += c.load()
		if !c.fixed && !c.job.floored {
			c.density = c.rate()
			heap.Push(&kept, c)
		} else if c.fixed {
			continue
		}
		later := c.work - c.ready // of steps that aren't ready, for which the latest start isn't meant
		if excess := o.ahead - later - atOnce - o.rate*c.slack.Seconds(); excess > 0 {
			o.leaveOut(c, &kept, excess)
		}
	}
	return slices.DeleteFunc(lane, func(c *candidate) bool { return !c.out })
}

// leaveOut leaves out jobs before and including c until c is in time. If c is worth the least of them, it
// leaves out c alone.
func (o *overload) leaveOut(c *candidate, kept *dispensable, excess float64) {
	var left []*candidate
	gain := 0.0
	for gain < excess && kept.Len() > 0 && !c.out {
		x := heap.Pop(kept).(*candidate) //nolint:forcetypeassert // Nothing else is pushed.
		if x.out {
			continue
		}
		x.out = true
		gain += x.load()
		left = append(left, x)
	}
	if !c.out && gain >= excess {
		o.ahead -= gain
		return
	}
	for _, x := range left {
		if x.out = x == c; !x.out {
			heap.Push(kept, x)
		}
	}
	if !c.job.floored {
		c.out = true
		o.ahead -= c.load()
	}
}
