package store

import (
	"context"
	"encoding/json"
	"net/url"
	"slices"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/dial"
)

const (
	defaultTimeout     = 2 * time.Second // of a call, and of the wait for a free connection
	defaultConnections = 16
	clientBufferSize   = 4 << 10 // bytes, for each direction of a connection
)

// Client is an HTTP client of the platform. Its methods may be called
// concurrently. Every call may fail with an *UnavailableError; other errors are
// named at the methods.
type Client struct {
	base      string
	timeout   time.Duration
	counts    *counts
	lastHosts atomic.Pointer[hostList] // latest list, for conditional requests
	http      *fasthttp.Client
	pool      dial.Pool
	group     errgroup.Group // requests that may outlive the contexts of their calls
}

// NewClient returns a Client of the platform at address, an IP address with a
// port. It doesn't connect.
func NewClient(address string, opts ...ClientOption) *Client {
	c := &Client{
		base:    "http://" + address,
		timeout: defaultTimeout,
		counts:  newCounts(nil),
		http: &fasthttp.Client{
			NoDefaultUserAgentHeader:  true,
			DisablePathNormalizing:    true,
			MaxIdemponentCallAttempts: 1,
			MaxConnsPerHost:           defaultConnections,
			MaxConnWaitTimeout:        defaultTimeout,
			ReadBufferSize:            clientBufferSize,
			WriteBufferSize:           clientBufferSize,
		},
	}
	c.http.DialTimeout = c.pool.Dial
	c.lastHosts.Store(&hostList{})
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close closes all connections and waits for the requests that use them.
// Later calls fail.
func (c *Client) Close() {
	c.pool.Close()
	_ = c.group.Wait()
}

// Get returns one row, or a *MissingError.
func (c *Client) Get(ctx context.Context, table, key string) (Row, error) {
	var row Row
	c.counts.reads.Inc(1)
	err := c.call(ctx, request{op: "get " + table, method: fasthttp.MethodGet, subject: table + "/" + key,
		path: PathTable + url.PathEscape(table) + "/" + url.PathEscape(key)}, &row)
	return row, err
}

// Scan returns the rows of a table whose keys begin with prefix, sorted by
// key.
func (c *Client) Scan(ctx context.Context, table, prefix string) ([]Row, error) {
	var rows []Row
	c.counts.reads.Inc(1)
	err := c.call(ctx, request{op: "scan " + table, method: fasthttp.MethodGet, subject: table,
		path: PathScan + url.PathEscape(table) + "?prefix=" + url.QueryEscape(prefix)}, &rows)
	return rows, err
}

// Commit applies ops atomically: all of them, or none if it returns a
// *ConflictError. After an *UnavailableError the outcome is unknown unless
// Unsent is true.
func (c *Client) Commit(ctx context.Context, ops []Op) error {
	c.counts.writes.Inc(1)
	return c.callJSON(ctx, request{op: "commit", method: fasthttp.MethodPost, path: PathCommit}, ops)
}

// PutObject stores data under name and replaces an object of that name.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	c.counts.writes.Inc(1)
	return c.call(ctx, request{op: "put object", method: fasthttp.MethodPut, path: PathObject + url.PathEscape(name), body: data}, nil)
}

// Object returns the object stored under name, or a *MissingError.
func (c *Client) Object(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	c.counts.reads.Inc(1)
	err := c.call(ctx, request{op: "object", method: fasthttp.MethodGet, subject: "object " + name,
		path: PathObject + url.PathEscape(name)}, &data)
	return data, err
}

// Hosts returns the list of live and leaving hosts, sorted by name. The list may
// be out of date.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	c.counts.reads.Inc(1)
	list := *c.lastHosts.Load()
	err := c.call(ctx, request{op: "hosts", method: fasthttp.MethodGet, path: PathHosts, etag: list.etag}, &list)
	if err != nil {
		return nil, err
	}
	c.lastHosts.Store(&list)
	return slices.Clone(list.hosts), nil
}

// Announce adds h to the list of hosts, or replaces the entry of that name.
func (c *Client) Announce(ctx context.Context, h Host) error {
	c.counts.writes.Inc(1)
	return c.callJSON(ctx, request{op: "announce", method: fasthttp.MethodPost, path: PathHosts}, h)
}

// Withdraw removes a host from the list.
func (c *Client) Withdraw(ctx context.Context, name string) error {
	c.counts.writes.Inc(1)
	return c.call(ctx, request{op: "withdraw", method: fasthttp.MethodDelete, path: PathHosts + "?name=" + url.QueryEscape(name)}, nil)
}

// callJSON performs q with in, encoded as JSON, as its body.
func (c *Client) callJSON(ctx context.Context, q request, in any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &UnavailableError{Op: q.op, Unsent: true, Err: err}
	}
	q.body = body
	return c.call(ctx, q, nil)
}
