package remote

import (
	"bufio"
	"context"
	"errors"
	"io"

	"github.com/valyala/fasthttp"
)

// Headers are the headers of an answer that commands look at.
type Headers struct {
	Version string // admin.BaseHeader
	ID      string // Request-Id
	Outcome string
	Reason  string
}

// Stream sends a request and calls each with every line of the answer as it
// comes, line end included, and with an empty line if there is none. The
// errors are those of Call and of each.
func (c *Client) Stream(ctx context.Context, method, path string, q Query, in any, each func(status int, h Headers, line []byte) error) error {
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
		return c.deliver(status, headers, res.Body(), each)
	}
	if status >= fasthttp.StatusBadRequest {
		data, err := io.ReadAll(body)
		if err != nil {
			return &ReachError{Base: c.base, Err: err}
		}
		return c.deliver(status, headers, data, each)
	}
	return c.lines(ctx, bufio.NewReader(body), func(line []byte) error { return each(status, headers, line) })
}

// deliver passes a whole body on, or the failure in it.
func (c *Client) deliver(status int, h Headers, body []byte, each func(int, Headers, []byte) error) error {
	if status >= fasthttp.StatusBadRequest {
		return failure(status, body)
	}
	return each(status, h, body)
}

func (c *Client) lines(ctx context.Context, r *bufio.Reader, each func([]byte) error) error {
	for first := true; ; first = false {
		line, err := r.ReadBytes('\n')
		if len(line) > 0 || first {
			if err := each(line); err != nil {
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
