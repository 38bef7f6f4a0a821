package relay

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/platform"
)

const (
	// hedgeFactor times the typical latency, but minHedgeDelay at least, is the time after
	// which an unanswered direct call is hedged: it is also forwarded to another host.
	hedgeFactor   = 4
	minHedgeDelay = 150 * time.Millisecond
	// minWatchHedgeDelay replaces minHedgeDelay for long polls, which don't count
	// towards the typical latency. With the follower's gap, the wait of the poll and the
	// tries of other hosts, it has to add up to less than the time in which a
	// configuration has to be in force.
	minWatchHedgeDelay = 300 * time.Millisecond
	// minForwardHedgeDelay replaces minHedgeDelay for calls that another host makes.
	minForwardHedgeDelay = 100 * time.Millisecond
	// slowThreshold is the typical latency above which the store counts as slow.
	slowThreshold = 80 * time.Millisecond
	// averagedCalls is the number of calls over which a falling latency is averaged.
	averagedCalls = 8
	// forwardTimeout bounds a forwarded call.
	forwardTimeout = 500 * time.Millisecond
	// maxForwards is how many other hosts a write is forwarded to before it fails, one
	// after another.
	maxForwards = 2
	// maxReadForwards is the same for reads and polls, which don't wait for a host that
	// doesn't answer before they try the next one.
	maxReadForwards = 4
	// forwardedPollInterval is the time between two polls that stand for a forwarded long
	// poll.
	forwardedPollInterval = 250 * time.Millisecond
	// slowLogThreshold is the duration, beyond the wait of a long poll, from which a call
	// is logged.
	slowLogThreshold = 500 * time.Millisecond
)

// Client calls the store, directly or through another host. It may be used
// concurrently. Its errors are those of platform.Store.
type Client struct {
	relay  *Relay
	direct Store

	mu             sync.Mutex    // guards typicalLatency
	typicalLatency time.Duration // of direct calls other than long polls
}

// Write runs one transaction and returns its version. After a *platform.LostError the
// outcome is unknown: the transaction may have been committed, or may still be committed
// later if its conditions hold then.
func (c *Client) Write(w *platform.Write) (int64, error) {
	_, version, err := c.call(&request{Write: w}, 0)
	return version, err
}

// Read reads rows as platform.Store.Read does.
func (c *Client) Read(table, part, from, to string) ([]platform.Row, int64, error) {
	return c.call(&request{Read: &readRequest{Table: table, Part: part, From: from, To: to}}, 0)
}

// Watch waits for changes as platform.Store.Watch does.
func (c *Client) Watch(table string, after int64, wait time.Duration) ([]platform.Row, int64, error) {
	return c.call(&request{Watch: &watchRequest{Table: table, After: after, Wait: wait}}, wait)
}

// result is the response to a direct call with the original error.
type result struct {
	response
	err error
}

// call makes a call that the store may hold for up to wait. It calls the store directly
// and, if that fails or takes too long, through other hosts; in the reverse order while
// the relay bypasses direct access. A long poll may return without changes before wait is
// over, when direct access fails or works again.
func (c *Client) call(req *request, wait time.Duration) ([]platform.Row, int64, error) {
	direct := make(chan result, 1)
	changed := c.relay.accessChange()
	bypass := c.relay.bypassing()
	began := c.relay.clock.Now()
	defer c.logSlow(req, bypass, wait, began)
	var failure error
	var failedAt time.Time // when the direct call failed or became overdue, zero if there was none
	if !bypass {
		c.startDirect(req, wait, direct)
		delay := minWatchHedgeDelay
		if wait == 0 {
			delay, changed = minHedgeDelay, nil // The call is hedged soon enough.
		}
		r, ok := c.awaitDirect(direct, wait+c.hedgeDelay(delay), changed)
		if !ok && req.Write != nil && c.relay.storeAnswers() {
			// The store is slow. It runs the writes of a partition one at a time, so a
			// hedged write would only add to the queue.
			r, ok = <-direct, true
		}
		if ok && r.final() {
			return r.Rows, r.Version, r.err
		}
		if due := began.Add(wait); c.relay.clock.Now().After(due) {
			failedAt = due
		}
		if ok {
			failure, failedAt = r.err, c.relay.clock.Now()
		}
	}
	resp, host := c.forward(req, wait, bypass, failure)
	if resp.final() {
		c.relay.noteForwarded(host, failedAt)
		return resp.Rows, resp.Version, resp.error(req)
	}
	if bypass {
		c.startDirect(req, wait, direct)
	}
	if failure == nil {
		r := <-direct
		if r.final() {
			return r.Rows, r.Version, r.err
		}
		failure = r.err
	}
	var lost *platform.LostError
	if resp.Outcome == unknown && !errors.As(failure, &lost) {
		failure = &platform.LostError{Call: "store call through another host", Err: failure}
	}
	return nil, 0, failure
}

// logSlow logs a call that began at the given time if it took long.
func (c *Client) logSlow(req *request, bypass bool, wait time.Duration, began time.Time) {
	took := c.relay.clock.Now().Sub(began)
	if took < wait+slowLogThreshold {
		return
	}
	kind, table := req.describe()
	c.relay.logger.Info("store call took long", zap.String("call", kind), zap.String("table", table), zap.Duration("took", took), zap.Bool("forwarded", bypass))
}

// startDirect starts a direct call and sends its result to direct.
func (c *Client) startDirect(req *request, wait time.Duration, direct chan<- result) {
	c.relay.spawn(func() {
		began := c.relay.clock.Now()
		rows, version, err := execute(c.direct, req)
		resp := responseOf(rows, version, err)
		if resp.final() && wait == 0 {
			c.noteLatency(c.relay.clock.Now().Sub(began))
		}
		c.relay.noteDirect(&resp)
		direct <- result{response: resp, err: err}
	})
}

// awaitDirect waits up to d, or until interrupt is closed, for the result of a direct call.
// It returns false if there is none by then.
func (c *Client) awaitDirect(direct <-chan result, d time.Duration, interrupt <-chan struct{}) (result, bool) {
	overdue, stop := c.after(d)
	defer stop()
	select {
	case r := <-direct:
		return r, true
	case <-interrupt:
	case <-overdue:
	}
	return result{}, false
}

// after returns a channel that is closed after d, unless stop is called before.
func (c *Client) after(d time.Duration) (elapsed <-chan struct{}, stop func()) {
	ch := make(chan struct{})
	t := c.relay.clock.After(d, func() { close(ch) })
	return ch, func() { t.Stop() }
}

// hedgeDelay returns how long after a call should have been answered it is hedged. That is
// least, or more while calls typically take long.
func (c *Client) hedgeDelay(least time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(least, hedgeFactor*c.typicalLatency)
}

// Slow reports whether the typical latency of direct calls is many times the normal one.
func (c *Client) Slow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.typicalLatency > slowThreshold
}

// noteLatency updates the typical latency, which rises at once to that of a slower call
// and falls gradually with faster ones.
func (c *Client) noteLatency(d time.Duration) {
	c.relay.counts.calls.Note(d)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.typicalLatency = max(d, c.typicalLatency+(d-c.typicalLatency)/averagedCalls)
}
