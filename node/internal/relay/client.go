package relay

import (
	"errors"
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/platform"
)

const (
	// hedgeTimes its usual time an answer by the own way is waited for until the
	// call is also passed on, leastHedge at least.
	hedgeTimes = 4
	leastHedge = 150 * time.Millisecond
	// watchHedge is leastHedge for a call that the store may hold: it says nothing of
	// how long the store takes otherwise.
	watchHedge = 600 * time.Millisecond
	// slowTime is longer than calls take unless the store is slow.
	slowTime = 80 * time.Millisecond
	// smoothing is over how many calls the usual time is averaged.
	smoothing = 8
	// passTimeout bounds a call through another host beyond the time that the
	// store may wait.
	passTimeout = 500 * time.Millisecond
	// helpersTried is how many other hosts are asked until a call has failed.
	helpersTried = 2
)

// Client makes calls of the store. It may be used concurrently; its errors are
// those of platform.Store.
type Client struct {
	relay  *Relay
	direct Store

	mu      sync.Mutex // guards typical
	typical time.Duration
}

// Write does one transaction and returns its version. After a *platform.LostError
// it may have been done, or be done later if its conditions still hold then.
func (c *Client) Write(w *platform.Write) (int64, error) {
	_, version, err := c.call(&question{Write: w}, 0)
	return version, err
}

// Read returns rows as platform.Store does.
func (c *Client) Read(table, part, from, to string) ([]platform.Row, int64, error) {
	return c.call(&question{Read: &read{Table: table, Part: part, From: from, To: to}}, 0)
}

// Watch returns changes as platform.Store does.
func (c *Client) Watch(table string, after int64, wait time.Duration) ([]platform.Row, int64, error) {
	return c.call(&question{Watch: &watch{Table: table, After: after, Wait: wait}}, wait)
}

// result is an answer by the own way with its error as it came.
type result struct {
	answer
	err error
}

// call makes a call for whose answer the store may wait.
func (c *Client) call(q *question, wait time.Duration) ([]platform.Row, int64, error) {
	own := make(chan result, 1)
	astray := c.relay.astray()
	var failure error
	if !astray {
		c.start(q, wait, own)
		r, ok := c.await(own, wait+c.patience(wait))
		if !ok && q.Write != nil && c.relay.answers() {
			// A slow store does the writes of a partition one after the other: a second
			// one would only be in the way of the first.
			r, ok = <-own, true
		}
		if ok && r.final() {
			return r.Rows, r.Version, r.err
		}
		if ok {
			failure = r.err
		}
	}
	a, helper := c.detour(q, wait, tries(failure))
	if a.final() {
		c.relay.divert(helper)
		return a.Rows, a.Version, a.error(q)
	}
	c.relay.lost()
	if astray {
		c.start(q, wait, own)
	}
	if failure == nil {
		r := <-own
		if r.final() {
			return r.Rows, r.Version, r.err
		}
		failure = r.err
	}
	var lost *platform.LostError
	if a.Outcome == unknown && !errors.As(failure, &lost) {
		failure = &platform.LostError{Call: "store call through another host", Err: failure}
	}
	return nil, 0, failure
}

// start makes the call by the own way.
func (c *Client) start(q *question, wait time.Duration, own chan<- result) {
	c.relay.spawn(func() {
		began := c.relay.clock.Now()
		rows, version, err := ask(c.direct, q)
		a := answerOf(rows, version, err)
		if a.final() && wait == 0 {
			c.took(c.relay.clock.Now().Sub(began))
		}
		c.relay.note(&a)
		own <- result{answer: a, err: err}
	})
}

// await waits for the own way's answer, but no longer than d.
func (c *Client) await(own <-chan result, d time.Duration) (result, bool) {
	late := make(chan struct{})
	t := c.relay.clock.After(d, func() { close(late) })
	defer t.Stop()
	select {
	case r := <-own:
		return r, true
	case <-late:
		return result{}, false
	}
}

// patience returns for how long an answer by the own way is waited for: what it
// usually takes, and some time more.
func (c *Client) patience(wait time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	least := leastHedge
	if wait > 0 {
		least = watchHedge
	}
	return max(least, hedgeTimes*c.typical)
}

// Slow reports whether the store takes many times as long as usual.
func (c *Client) Slow() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.typical > slowTime
}

// took learns how long answers take: a slower one counts at once, faster ones
// little by little.
func (c *Client) took(d time.Duration) {
	c.relay.counts.calls.Note(d)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.typical = max(d, c.typical+(d-c.typical)/smoothing)
}

// tries returns how many other hosts to ask after a failure by the own way. A store
// that is overloaded isn't asked more than once more.
func tries(failure error) int {
	var refused *platform.RefusedError
	if errors.As(failure, &refused) && refused.Overload() {
		return 1
	}
	return helpersTried
}

// detour makes the call through one of up to n other hosts and returns which.
func (c *Client) detour(q *question, wait time.Duration, n int) (answer, string) {
	failed := answer{Outcome: refused}
	for _, h := range c.relay.helpers(n) {
		a, err := c.relay.pass(h, q, wait+passTimeout)
		var dial *link.DialError
		switch {
		case err == nil && a.final():
			return a, h.Name
		case err == nil && a.Outcome == unknown, err != nil && !errors.As(err, &dial):
			failed.Outcome = unknown
		}
	}
	return failed, ""
}
