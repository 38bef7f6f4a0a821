package point

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/dial"
)

const (
	defaultTimeout     = 2 * time.Second
	defaultRunTimeout  = time.Minute
	defaultConnections = 24
	defaultWindow      = 8 << 10 // bytes
	writeBuffer        = 4 << 10 // bytes
)

// Client calls endpoints over HTTP. An address is an IP address with a port.
// All methods may be called concurrently. Their errors are a *FencedError, a
// *RefusedError, a *FailedError or a *LostError.
type Client struct {
	timeout    time.Duration
	runTimeout time.Duration
	http       *fasthttp.Client
	pool       dial.Pool
	group      errgroup.Group // requests that may outlive their contexts
}

// NewClient returns a Client for any number of endpoints.
func NewClient(opts ...ClientOption) *Client {
	c := &Client{
		timeout:    defaultTimeout,
		runTimeout: defaultRunTimeout,
		http: &fasthttp.Client{
			NoDefaultUserAgentHeader:  true,
			MaxIdemponentCallAttempts: 1,
			MaxConnsPerHost:           defaultConnections,
			MaxConnWaitTimeout:        defaultTimeout,
			ReadBufferSize:            defaultWindow,
			WriteBufferSize:           writeBuffer,
			StreamResponseBody:        true,
		},
	}
	c.http.DialTimeout = c.pool.Dial
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close closes all connections and waits for the requests that used them.
func (c *Client) Close() {
	c.pool.Close()
	_ = c.group.Wait()
}

// Open acquires ownership of an endpoint.
func (c *Client) Open(ctx context.Context, address string, in Open) (View, error) {
	var v View
	err := c.post(ctx, address, PathOpen, c.timeout, in, &v)
	return v, err
}

// Renew renews ownership of an endpoint and the leases of its tasks. It may take
// in.Wait longer than other calls.
func (c *Client) Renew(ctx context.Context, address string, in Renew) (Report, error) {
	var r Report
	err := c.post(ctx, address, PathRenew, c.timeout+in.Wait, in, &r)
	return r, err
}

// Release releases ownership of an endpoint.
func (c *Client) Release(ctx context.Context, address string, in Owner) error {
	return c.post(ctx, address, PathRelease, c.timeout, in, nil)
}

// Start starts a task on a worker. It returns once the task runs.
func (c *Client) Start(ctx context.Context, address string, in Start) error {
	return c.post(ctx, address, PathStart, c.timeout, in, nil)
}

// Stop requests that a task be ended or slowed. If its Start arrives only
// later, the task is not started.
func (c *Client) Stop(ctx context.Context, address string, in Stop) error {
	return c.post(ctx, address, PathStop, c.timeout, in, nil)
}

// View returns an endpoint's description of itself. It needs no ownership.
func (c *Client) View(ctx context.Context, address string) (View, error) {
	var v View
	err := c.call(ctx, exchange{address: address, path: PathTasks, method: fasthttp.MethodGet, timeout: c.timeout}, &v)
	return v, err
}

// Run runs a task on an executor and returns its answer once the header has
// arrived. The caller has to close the answer. If ctx ends, reading the answer
// fails.
func (c *Client) Run(ctx context.Context, address string, in Start) (*Answer, error) {
	body, err := encode(address, in)
	if err != nil {
		return nil, err
	}
	q := exchange{address: address, path: PathRun, method: fasthttp.MethodPost, timeout: c.runTimeout, body: body}
	res, err := c.exchange(ctx, q)
	if err != nil {
		return nil, err
	}
	if res.StatusCode() != fasthttp.StatusOK {
		defer closeResponse(res)
		return nil, failure(address, res)
	}
	return newAnswer(ctx, c, address, in, res)
}
