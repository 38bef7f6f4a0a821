package plan

import (
	"cmp"
	"time"
)

const (
	// lateWorth is what a job is worth that misses its objective and ends within lateFactor times it.
	lateWorth = 0.2
	// baseValue is the part of a job's value that doesn't depend on its size.
	baseValue = 0.3
	// returnMargin is the room, relative to its work, that deferred work needs to come back, and by
	// which its value for its work must exceed that of work in its place. Marks would flap without it.
	returnMargin = 1.25
)

// candidate is a job with waiting work during one sweep of feasible.go.
type candidate struct {
	job        *job
	sizes      *jobSizes
	rank       int
	slack      time.Duration // until the latest start at which it is in time, or late if late is set
	due        time.Duration // until the latest start at which it meets its objective
	cpu        int64         // that its ready tasks need, in thousandths of a core
	wants      int64         // part of cpu that its team's limit doesn't hold back
	tasks      int           // that are ready
	ready      float64       // core-seconds of its ready tasks
	work       float64       // core-seconds of all its waiting tasks
	value      float64       // relative to the mean of its queue
	priority   int           // of its queue
	density    float64       // what rate returned for the rank that is looked at
	fixed      bool          // it isn't deferred
	late       bool          // it can't meet its objective
	out        bool          // it can't be in time
	mark       mark
	prior      mark // of the last sweep
	cause      Deferral
	overloaded bool // its team's limit or its service
}

// worth returns what the job is worth if it ends in time.
func (c *candidate) worth() float64 {
	if c.late {
		return lateWorth * c.value
	}
	return c.value
}

// returns reports whether the job was deferred from what it is considered for.
func (c *candidate) returns() bool {
	return c.prior == markDeferred || c.prior == markLate && !c.late
}

// load returns the core-seconds that the job takes from those behind it.
func (c *candidate) load() float64 {
	if c.returns() {
		return returnMargin * c.work
	}
	return c.work
}

// rate returns the job's worth for its work, which is relative to the mean of its queue, too.
func (c *candidate) rate() float64 {
	d := c.worth() * c.sizes.mean() * c.sizes.ratio / c.work
	if c.returns() {
		d /= returnMargin
	}
	return d
}

// compareSlacks orders jobs of one rank.
func compareSlacks(a, b *candidate) int {
	if a.slack != b.slack {
		return cmp.Compare(a.slack, b.slack)
	}
	return cmp.Compare(a.job.spec.ID, b.job.spec.ID)
}
