package plan

import "time"

// supply describes the processors of a service during one decision, in thousandths of a core.
// The pools of a service share it. Under a backlog the capacity that is free now says little
// about what a stage can use when the adviser has answered.
type supply struct {
	total   int64
	free    int64   // when the decision began
	waiting int64   // needed by all stages that wait
	ahead   int64   // needed by the stages that the decision has left waiting so far
	rate    float64 // what is expected to become free in a second
}

// nextInOrderSurplus times the capacity that becomes free in a while is the need of the stages
// that hold tickets for it, since no stage is allowed to use all executors.
const nextInOrderSurplus = 1.5

// newSupply returns the supply of the executors in p, for which the stages in waiting compete.
func (s *State) newSupply(p *pool, waiting []waitingStage) *supply {
	c := &supply{}
	for _, e := range p.executors {
		c.total += e.info.Room.CPU
		c.free += max(0, e.free().CPU)
	}
	for _, w := range waiting {
		if w.stage.occur.job.queue.Service == p.service {
			c.waiting += w.stage.waitingCPU()
		}
	}
	c.rate = s.turnover.share() * float64(c.total)
	return c
}

// waitingCPU returns the processors that the waiting tasks need. It is 0 if the team's limit kept some
// of them back when they were last looked at: these compete for no capacity.
func (st *stage) waitingCPU() int64 {
	if !st.lastBlocked.IsZero() && st.blockCause == blockedByLimit {
		return 0
	}
	return int64(st.waiting) * st.spec.Need.CPU
}

// backlogged reports whether more work waits than fits into the free capacity.
func (c *supply) backlogged() bool { return c.waiting > c.free }

// nextInOrder reports whether the stage that is being placed is among those that can use what
// is free or becomes free within d.
func (c *supply) nextInOrder(d time.Duration) bool {
	return float64(c.ahead) < nextInOrderSurplus*(float64(c.free)+c.rate*d.Seconds())
}

// freeShare returns which part of the free capacity is there for each task that waits: 1
// without a backlog.
func (c *supply) freeShare() float64 {
	if !c.backlogged() {
		return 1
	}
	return float64(c.free) / float64(c.waiting)
}
