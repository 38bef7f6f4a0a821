package remote

import (
	"bufio"
	"context"
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// Headers holds the response headers that commands use.
type Headers struct {
	Version string // admin.BaseHeader
	ID      string // Request-Id
	Outcome string
	Reason  string
}

// Stream sends a request and calls handle for every line of the response as it
// arrives, line end included. An empty body gives one call with an empty line. A body
// that fasthttp doesn't stream is passed in one call. The errors are those of Call and
// of handle.
func (c *Client) Stream(ctx context.Context, method, path string, q Query, in any, handle func(status int, h Headers, line []byte) error) error {
	res, err := c.send(ctx, method, path, q, in)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, func() { _ = res.CloseBodyStream() })
	defer stop()
	status := res.StatusCode()
	headers := Headers{
		Version: string(res.Header.Peek("X-Balsamford-Version")), ID: string(res.Header.Peek("Request-Id")),
		Outcome: string(res.Header.Peek("Outcome")), Reason: string(res.Header.Peek("Reason")),
	}
	body := res.BodyStream()
	if body == nil {
		return c.deliver(status, headers, res.Body(), handle)
	}
	if status >= fasthttp.StatusBadRequest {
		data, err := io.ReadAll(body)
		if err != nil {
			return &ReachError{Base: c.base, Err: err}
		}
		return c.deliver(status, headers, data, handle)
	}
	return c.readLines(ctx, bufio.NewReader(body), func(line []byte) error { return handle(status, headers, line) })
}

// deliver passes a complete body to handle, or returns the failure in it.
func (c *Client) deliver(status int, h Headers, body []byte, handle func(int, Headers, []byte) error) error {
	if status >= fasthttp.StatusBadRequest {
		return parseFailure(status, body)
	}
	return handle(status, h, body)
}

func (c *Client) readLines(ctx context.Context, r *bufio.Reader, handle func([]byte) error) error {
	for first := true; ; first = false {
		line, err := r.ReadBytes('\n')
		if len(line) > 0 || first {
			if err := handle(line); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil && ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return &ReachError{Base: c.base, Err: err}
		}
	}
}
