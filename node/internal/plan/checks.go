package plan

import "time"

const (
	// maxPendingChecks bounds the jobs whose forecasts are compared with what comes of them.
	maxPendingChecks = 2048
	// defaultMargin is the margin of forecasts that have not been checked.
	defaultMargin = 1.5
	minMargin     = 1.25
	// maxMargin is so large that no forecast leads to a rejection.
	maxMargin = 100.0
	// widenMargin and narrowMargin are the factors by which one outcome changes the margin. They
	// balance when one of 41 jobs that a forecast gave up ended with value.
	widenMargin  = 1.5
	narrowMargin = 0.99
)

// checks compares the forecasts for jobs that were expected to end worthless, and were accepted, with
// what came of them. A job that is rejected wrongly costs more than one that is accepted in vain, so the
// margin grows fast when such a job ended with value, and shrinks slowly.
type checks struct {
	pending map[string]check // by job
}

// check is a job that is expected to end worthless.
type check struct {
	margin *float64
	until  time.Time // its result has no value after that
}

// add notes that a job is expected to end worthless. margin is that of its forecast.
func (c *checks) add(id string, margin *float64, until time.Time) {
	if len(c.pending) >= maxPendingChecks {
		return
	}
	if c.pending == nil {
		c.pending = make(map[string]check)
	}
	c.pending[id] = check{margin: margin, until: until}
}

// ended notes that a job has ended at now, or is known to end some other way than by success.
func (c *checks) ended(id string, done bool, now time.Time) {
	k, ok := c.pending[id]
	if !ok {
		return
	}
	delete(c.pending, id)
	if done && !now.After(k.until) {
		*k.margin = min(maxMargin, *k.margin*widenMargin)
	}
}

// expire concludes the checks of jobs whose results have no value any more.
func (c *checks) expire(now time.Time) {
	for id, k := range c.pending {
		if now.After(k.until) {
			delete(c.pending, id)
			*k.margin = max(minMargin, *k.margin*narrowMargin)
		}
	}
}
