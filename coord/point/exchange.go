package point

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/dial"
	"github.com/balsamford/balsamford/coord/wire"
)

// bodyLimit is the maximum size of a JSON answer in bytes.
const bodyLimit = 16 << 20

// exchange is one HTTP request of a Client.
type exchange struct {
	address string
	path    string
	method  string
	timeout time.Duration
	body    []byte
}

// result is the response to an exchange, or its error.
type result struct {
	res *fasthttp.Response
	err error
}

func (c *Client) post(ctx context.Context, address, path string, timeout time.Duration, in, out any) error {
	body, err := encode(address, in)
	if err != nil {
		return err
	}
	q := exchange{address: address, path: path, method: fasthttp.MethodPost, timeout: timeout, body: body}
	return c.call(ctx, q, out)
}

// call performs q and decodes the answer into out unless out is nil.
func (c *Client) call(ctx context.Context, q exchange, out any) error {
	res, err := c.exchange(ctx, q)
	if err != nil {
		return err
	}
	defer closeResponse(res)
	if res.StatusCode() >= fasthttp.StatusBadRequest {
		return failure(q.address, res)
	}
	data, err := readBody(res)
	if err != nil {
		return &LostError{Endpoint: q.address, Err: err}
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &LostError{Endpoint: q.address, Err: err}
	}
	return nil
}

// exchange sends q and returns the response. The caller has to read its body
// and close it.
func (c *Client) exchange(ctx context.Context, q exchange) (*fasthttp.Response, error) {
	if err := ctx.Err(); err != nil {
		return nil, &LostError{Endpoint: q.address, Unsent: true, Err: err}
	}
	deadline := time.Now().Add(q.timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	done := make(chan result) // unbuffered, so that a response that isn't received gets closed
	c.group.Go(func() error {
		r := c.do(q, deadline)
		select {
		case done <- r:
		case <-ctx.Done():
			if r.res != nil {
				closeResponse(r.res)
			}
		}
		return nil
	})
	select {
	case r := <-done:
		return r.res, r.err
	case <-ctx.Done():
		return nil, &LostError{Endpoint: q.address, Err: ctx.Err()}
	}
}

// do sends q and waits for the header of the response.
func (c *Client) do(q exchange, deadline time.Time) result {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(q.method)
	req.SetRequestURI("http://" + q.address + q.path)
	req.SetBodyRaw(q.body)
	if err := c.http.DoDeadline(req, res, deadline); err != nil {
		fasthttp.ReleaseResponse(res)
		var unsent *dial.Error
		return result{err: &LostError{
			Endpoint: q.address,
			Unsent:   errors.As(err, &unsent) || errors.Is(err, fasthttp.ErrNoFreeConns),
			Err:      err,
		}}
	}
	return result{res: res}
}

func encode(address string, in any) ([]byte, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return nil, &LostError{Endpoint: address, Unsent: true, Err: err}
	}
	return body, nil
}

// failure returns the error for a response that has an error status.
func failure(address string, res *fasthttp.Response) error {
	data, err := readBody(res)
	if err != nil {
		return &LostError{Endpoint: address, Err: err}
	}
	switch res.StatusCode() {
	case fasthttp.StatusConflict:
		fenced := new(FencedError)
		if json.Unmarshal(data, fenced) == nil {
			return fenced
		}
	case fasthttp.StatusServiceUnavailable, fasthttp.StatusInsufficientStorage, fasthttp.StatusGone:
		var r Refusal
		if json.Unmarshal(data, &r) == nil {
			return &RefusedError{Endpoint: r.Endpoint, Reason: r.Reason}
		}
	case fasthttp.StatusBadRequest:
		return &RefusedError{Endpoint: address, Reason: wire.ReasonInvalid}
	case fasthttp.StatusInternalServerError:
		failed := new(FailedError)
		if json.Unmarshal(data, failed) == nil {
			return failed
		}
	}
	return &LostError{Endpoint: address, Err: &StatusError{Status: res.StatusCode()}}
}

func readBody(res *fasthttp.Response) ([]byte, error) {
	if res.BodyStream() == nil {
		return res.Body(), nil
	}
	return io.ReadAll(io.LimitReader(res.BodyStream(), bodyLimit))
}

func closeResponse(res *fasthttp.Response) {
	_ = res.CloseBodyStream()
	fasthttp.ReleaseResponse(res)
}
