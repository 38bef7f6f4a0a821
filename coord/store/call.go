package store

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/dial"
)

// call is one request of a Client.
type call struct {
	op     string // for errors
	method string
	path   string
	name   string // of what can be missing
	body   []byte
	tag    string // of the answer that is known; another one is wanted
}

// reply is what came back.
type reply struct {
	status int
	body   []byte
	tag    string
	err    error
}

// call performs q and decodes the answer into out: raw into a *[]byte, JSON
// into anything else, nothing if out is nil.
func (c *Client) call(ctx context.Context, q call, out any) error {
	if err := ctx.Err(); err != nil {
		return c.lost(q.op, true, err)
	}
	deadline := time.Now().Add(c.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	done := make(chan reply, 1)
	c.group.Go(func() error {
		done <- c.do(q, deadline)
		return nil
	})
	select {
	case r := <-done:
		return c.decode(q, r, out)
	case <-ctx.Done():
		return c.lost(q.op, false, ctx.Err())
	}
}

func (c *Client) do(q call, deadline time.Time) reply {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(q.method)
	req.SetRequestURI(c.base + q.path)
	req.SetBodyRaw(q.body)
	if q.tag != "" {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, q.tag)
	}
	if err := c.http.DoDeadline(req, res, deadline); err != nil {
		return reply{err: err}
	}
	return reply{status: res.StatusCode(), body: bytes.Clone(res.Body()), tag: string(res.Header.Peek(fasthttp.HeaderETag))}
}

func (c *Client) decode(q call, r reply, out any) error {
	if r.err != nil {
		var unsent *dial.Error
		return c.lost(q.op, errors.As(r.err, &unsent) || errors.Is(r.err, fasthttp.ErrNoFreeConns), r.err)
	}
	switch r.status {
	case fasthttp.StatusOK, fasthttp.StatusNoContent:
	case fasthttp.StatusNotModified:
		if q.tag != "" {
			return nil
		}
		return c.lost(q.op, false, &statusError{status: r.status})
	case fasthttp.StatusNotFound:
		return &MissingError{Name: q.name}
	case fasthttp.StatusConflict:
		conflict := new(ConflictError)
		if err := json.Unmarshal(r.body, conflict); err != nil {
			return c.lost(q.op, false, err)
		}
		return conflict
	default:
		return c.lost(q.op, false, &statusError{status: r.status})
	}
	switch dst := out.(type) {
	case nil:
		return nil
	case *[]byte:
		*dst = r.body
		return nil
	case *hostList:
		dst.tag, dst.hosts = r.tag, nil
		out = &dst.hosts
	}
	if err := json.Unmarshal(r.body, out); err != nil {
		return c.lost(q.op, false, err)
	}
	return nil
}

func (c *Client) lost(op string, unsent bool, err error) error {
	c.counts.lost.Inc(1)
	return &UnavailableError{Op: op, Unsent: unsent, Err: err}
}

// statusError reports a status that the interface doesn't have.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string { return "status " + strconv.Itoa(e.status) }
