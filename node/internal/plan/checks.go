package plan

import (
	"slices"
	"time"
)

const (
	// maxPendingChecks bounds the jobs whose forecasts are compared with what comes of them.
	maxPendingChecks = 1024
	// checkedOutcomes is the number of outcomes from which the trust in forecasts follows.
	checkedOutcomes = 64
	// minCheckedOutcomes is the number of recent outcomes below which trust is defaultTrust.
	minCheckedOutcomes = 16
	// outcomeAge is how long an outcome counts.
	outcomeAge = 20 * time.Second
	// defaultTrust is the trust in forecasts that haven't been checked, in percent.
	defaultTrust = 50
	// trustedQuantile is the share of forecasts that may have been longer than the wait was, by more
	// than the trust allows for.
	trustedQuantile = 0.1
	// minCheckedWait is the forecast wait below which nothing is learned from the outcome, since it is
	// within the resolution of forecasts.
	minCheckedWait = 500 * time.Millisecond
)

// checks compares forecasts with the waits that jobs then had. A forecast that is too long may cause
// the rejection of a job that would have been served in time, so the trust in a cause is the share of the
// forecast wait that nine of ten jobs waited.
type checks struct {
	pending  map[string]check // by job
	outcomes [3][]outcome     // by cause, the latest last
}

// check is a forecast whose outcome isn't known yet.
type check struct {
	at    time.Time
	cause blockCause
	wait  time.Duration
}

// outcome is the share of a forecast wait that a job has waited, at most 1.
type outcome struct {
	at    time.Time
	share float64
}

// add notes the forecast for a new job.
func (c *checks) add(id string, d Delay, now time.Time) {
	cause, wait := d.longest()
	if wait < minCheckedWait || len(c.pending) >= maxPendingChecks {
		return
	}
	if c.pending == nil {
		c.pending = make(map[string]check)
	}
	c.pending[id] = check{at: now, cause: cause, wait: wait}
}

// resolve notes that all tasks of a set of a job have started.
func (c *checks) resolve(id string, now time.Time) {
	if k, ok := c.pending[id]; ok {
		delete(c.pending, id)
		c.conclude(k, now)
	}
}

// drop forgets a job that ends without having started.
func (c *checks) drop(id string) { delete(c.pending, id) }

// expire concludes the checks of jobs that have waited as long as was forecast.
func (c *checks) expire(now time.Time) {
	for id, k := range c.pending {
		if now.Sub(k.at) >= k.wait {
			delete(c.pending, id)
			c.conclude(k, now)
		}
	}
}

func (c *checks) conclude(k check, now time.Time) {
	all := append(c.outcomes[k.cause], outcome{at: now, share: min(1, float64(now.Sub(k.at))/float64(k.wait))})
	c.outcomes[k.cause] = all[max(0, len(all)-checkedOutcomes):]
}

// trust returns the trust in forecasts of a cause, in percent.
func (c *checks) trust(cause blockCause, now time.Time) int {
	var shares []float64
	for _, o := range c.outcomes[cause] {
		if now.Sub(o.at) < outcomeAge {
			shares = append(shares, o.share)
		}
	}
	if len(shares) < minCheckedOutcomes {
		return defaultTrust
	}
	slices.Sort(shares)
	return int(100 * shares[int(trustedQuantile*float64(len(shares)))])
}

// longest returns the longest wait and its cause.
func (d *Delay) longest() (blockCause, time.Duration) {
	switch {
	case d.Limit >= d.Room && d.Limit >= d.Advice:
		return blockedByLimit, d.Limit
	case d.Room >= d.Advice:
		return blockedByCapacity, d.Room
	}
	return blockedByAdvice, d.Advice
}
