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

// request is one HTTP request of a Client.
type request struct {
	op      string // operation, for error messages
	method  string
	path    string
	subject string // row or object, for a MissingError
	body    []byte
	etag    string // sent as If-None-Match; "" for none
}

// response is the response to a request, or the error that took its place.
type response struct {
	status int
	body   []byte
	etag   string
	err    error
}

// call performs q and decodes the response into out: as raw bytes if out is a
// *[]byte, as JSON otherwise, not at all if out is nil. It returns when ctx
// ends, although the request may still be in progress.
func (c *Client) call(ctx context.Context, q request, out any) error {
	if err := ctx.Err(); err != nil {
		return c.unavailable(q.op, true, err)
	}
	deadline := time.Now().Add(c.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	done := make(chan response, 1)
	c.group.Go(func() error {
		done <- c.roundTrip(q, deadline)
		return nil
	})
	select {
	case r := <-done:
		return c.decodeResponse(q, r, out)
	case <-ctx.Done():
		return c.unavailable(q.op, false, ctx.Err())
	}
}

// roundTrip sends q and waits for the response until deadline.
func (c *Client) roundTrip(q request, deadline time.Time) response {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(q.method)
	req.SetRequestURI(c.base + q.path)
	req.SetBodyRaw(q.body)
	if q.etag != "" {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, q.etag)
	}
	if err := c.http.DoDeadline(req, res, deadline); err != nil {
		return response{err: err}
	}
	return response{status: res.StatusCode(), body: bytes.Clone(res.Body()), etag: string(res.Header.Peek(fasthttp.HeaderETag))}
}

// decodeResponse translates the status of r to an error, or decodes its body
// into out. out stays as it is if the status is 304 Not Modified.
func (c *Client) decodeResponse(q request, r response, out any) error {
	if r.err != nil {
		var unsent *dial.Error
		return c.unavailable(q.op, errors.As(r.err, &unsent) || errors.Is(r.err, fasthttp.ErrNoFreeConns), r.err)
	}
	switch r.status {
	case fasthttp.StatusOK, fasthttp.StatusNoContent:
	case fasthttp.StatusNotModified:
		if q.etag != "" {
			return nil
		}
		return c.unavailable(q.op, false, &statusError{status: r.status})
	case fasthttp.StatusNotFound:
		return &MissingError{Name: q.subject}
	case fasthttp.StatusConflict:
		conflict := new(ConflictError)
		if err := json.Unmarshal(r.body, conflict); err != nil {
			return c.unavailable(q.op, false, err)
		}
		return conflict
	default:
		return c.unavailable(q.op, false, &statusError{status: r.status})
	}
	switch dst := out.(type) {
	case nil:
		return nil
	case *[]byte:
		*dst = r.body
		return nil
	case *hostList:
		dst.etag, dst.hosts = r.etag, nil
		out = &dst.hosts
	}
	if err := json.Unmarshal(r.body, out); err != nil {
		return c.unavailable(q.op, false, err)
	}
	return nil
}

// unavailable counts and returns an *UnavailableError.
func (c *Client) unavailable(op string, unsent bool, err error) error {
	c.counts.unavailable.Inc(1)
	return &UnavailableError{Op: op, Unsent: unsent, Err: err}
}

// statusError reports an unexpected HTTP status.
type statusError struct{ status int }

// Error implements error.
func (e *statusError) Error() string { return "status " + strconv.Itoa(e.status) }
