package calls

import (
	"encoding/json"
	"errors"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/dial"
)

const (
	pathRequests     = "/v1/requests"
	maxConnsPerEntry = 512
)

// Client sends callers' requests to entries. It may be used concurrently.
type Client struct {
	http    *fasthttp.Client
	pool    dial.Pool
	timeout time.Duration
}

// Option configures a Client in New.
type Option func(*Client)

// WithIdle closes connections that have been idle for d. If the entry closes an
// idle connection first, the client only notices when it next sends on it.
func WithIdle(d time.Duration) Option {
	return func(c *Client) { c.http.MaxIdleConnDuration = d }
}

// New returns a Client whose calls fail after timeout. It must be closed.
func New(timeout time.Duration, opts ...Option) *Client {
	c := &Client{timeout: timeout, http: &fasthttp.Client{
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
		MaxConnsPerHost:           maxConnsPerEntry,
	}}
	c.http.DialTimeout = c.pool.Dial
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close closes all connections.
func (c *Client) Close() { c.pool.Close() }

// Submit sends a request to the entry at address. The key is the secret of an
// API key; an empty key is not sent. The error is a *LostError.
func (c *Client) Submit(address, key string, request *Request) (Reply, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return Reply{}, &LostError{Unsent: true, Err: err}
	}
	return c.do(fasthttp.MethodPost, address, pathRequests, key, body)
}

// Status returns the present state of a request. The error is a *LostError.
func (c *Client) Status(address, key, id string) (Reply, error) {
	return c.do(fasthttp.MethodGet, address, pathRequests+"/"+url.PathEscape(id), key, nil)
}

// Result returns the result of a finished request, including the outputs of a
// job's tasks. The error is a *LostError.
func (c *Client) Result(address, key, id string) (Reply, error) {
	return c.do(fasthttp.MethodGet, address, pathRequests+"/"+url.PathEscape(id)+"/result", key, nil)
}

// Cancel requests the cancellation of a request. The error is a *LostError.
func (c *Client) Cancel(address, key, id string) (Reply, error) {
	return c.do(fasthttp.MethodDelete, address, pathRequests+"/"+url.PathEscape(id), key, nil)
}

func (c *Client) do(method, address, path, key string, body []byte) (Reply, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	if key != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+key)
	}
	if body != nil {
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if err := c.http.DoTimeout(req, res, c.timeout); err != nil {
		var unsent *dial.Error
		return Reply{}, &LostError{Unsent: errors.As(err, &unsent) || errors.Is(err, fasthttp.ErrNoFreeConns), Err: err}
	}
	return readReply(res)
}
