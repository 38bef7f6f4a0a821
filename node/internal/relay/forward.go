package relay

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

// forward makes a call through other hosts until one of them has a final response. It
// returns that and the host's name. If none has one, the response is refused if the store
// certainly did nothing, otherwise unknown. Failure is the error of the direct call, nil
// if it hasn't ended. While the relay bypasses direct access, a long poll is held for up to
// wait.
func (c *Client) forward(req *request, wait time.Duration, bypass bool, failure error) (response, string) {
	switch {
	case req.Write != nil:
		return c.forwardWrite(req, forwardLimit(failure, maxForwards))
	case req.Watch != nil && bypass:
		return c.forwardWatch(req.Watch, wait)
	case req.Watch != nil:
		return c.forwardRead(req.Watch.poll(), forwardLimit(failure, maxReadForwards))
	}
	return c.forwardRead(req, forwardLimit(failure, maxReadForwards))
}

// forwardLimit returns how many other hosts a call is forwarded to after the direct call
// ended with failure, nil if it hasn't ended. If the store is overloaded, the call is
// repeated only once.
func forwardLimit(failure error, most int) int {
	var refused *platform.RefusedError
	if errors.As(failure, &refused) && refused.Overload() {
		return 1
	}
	return most
}

// poll returns a request for the changes that there are already.
func (w *watchRequest) poll() *request {
	return &request{Watch: &watchRequest{Table: w.Table, After: w.After}}
}

// forwardWatch polls through other hosts until there are changes, direct access works
// again, or wait is over. A long poll through a host that can't be reached any more would
// take its whole wait to fail.
func (c *Client) forwardWatch(w *watchRequest, wait time.Duration) (response, string) {
	end := c.relay.clock.Now().Add(wait)
	for {
		changed := c.relay.accessChange()
		resp, host := c.forwardRead(w.poll(), maxReadForwards)
		left := min(forwardedPollInterval, end.Sub(c.relay.clock.Now()))
		if resp.Outcome != done || len(resp.Rows) > 0 || left <= 0 || !c.relay.bypassing() {
			return resp, host
		}
		elapsed, stop := c.after(left)
		select {
		case <-changed:
			stop()
			return resp, host
		case <-c.relay.done: // The clock may have stopped, too.
			return resp, host
		case <-elapsed:
		}
	}
}

// forwardWrite makes a write through up to n other hosts, one after another, as forward
// does.
func (c *Client) forwardWrite(req *request, n int) (response, string) {
	failed, hosts := response{Outcome: refused}, c.relay.forwardHosts(n)
	for _, h := range hosts {
		resp := c.forwardTo(h, req)
		if resp.final() {
			return resp, h.Name
		}
		failed.Outcome = max(failed.Outcome, resp.Outcome)
	}
	c.relay.noteUnreachable(len(hosts))
	return failed, ""
}

// forwarded is a response that came through another host.
type forwarded struct {
	response
	host string
}

// forwardRead makes a read or a poll through up to n other hosts, as forward does. The next
// host is tried as soon as one fails or is overdue, while the ones before may still answer.
func (c *Client) forwardRead(req *request, n int) (response, string) {
	hosts := c.relay.forwardHosts(n)
	tried := len(hosts)
	responses := make(chan forwarded, len(hosts))
	failed, pending := response{Outcome: refused}, 0
	for len(hosts) > 0 || pending > 0 {
		if len(hosts) > 0 {
			h := hosts[0]
			hosts = hosts[1:]
			pending++
			c.relay.spawn(func() { responses <- forwarded{response: c.forwardTo(h, req), host: h.Name} })
		}
		overdue, stop := c.after(c.hedgeDelay(minForwardHedgeDelay))
		if len(hosts) == 0 {
			overdue = nil
		}
		select {
		case r := <-responses:
			stop()
			if r.final() {
				return r.response, r.host
			}
			pending--
			failed.Outcome = max(failed.Outcome, r.Outcome)
		case <-overdue:
		}
	}
	c.relay.noteUnreachable(tried)
	return failed, ""
}

// forwardTo makes a call through one host. If there is no response, it returns one that is
// refused if the call was certainly not sent, otherwise unknown.
func (c *Client) forwardTo(h board.Host, req *request) response {
	began := c.relay.clock.Now()
	resp, err := c.relay.forwardTo(h, req, forwardTimeout)
	c.relay.noteHost(h.Name, err == nil && resp.final())
	if err == nil && resp.final() {
		return resp
	}
	kind, table := req.describe()
	now := c.relay.clock.Now()
	c.relay.failures.note(h.Name, now, zap.String("call", kind), zap.String("table", table), zap.Duration("took", now.Sub(began)), zap.Error(err))
	var dial *link.DialError
	switch {
	case err == nil:
		return resp
	case errors.As(err, &dial):
		return response{Outcome: refused}
	}
	return response{Outcome: unknown}
}
