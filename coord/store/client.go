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
	defaultTimeout     = 2 * time.Second
	defaultConnections = 16
	clientBuffer       = 4 << 10 // bytes for each direction of a connection
)

// Client calls the platform over HTTP. Its methods may be called
// concurrently and fail with a *MissingError, a *ConflictError or an
// *UnavailableError.
type Client struct {
	base    string
	timeout time.Duration
	counts  *counts
	hosts   atomic.Pointer[hostList] // the last one
	http    *fasthttp.Client
	pool    dial.Pool
	group   errgroup.Group // calls that may outlive their contexts
}

// NewClient returns a Client of the platform at address, an IP number with a
// port.
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
			ReadBufferSize:            clientBuffer,
			WriteBufferSize:           clientBuffer,
		},
	}
	c.http.DialTimeout = c.pool.Dial
	c.hosts.Store(&hostList{})
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Close closes all connections and waits for the calls that used them.
func (c *Client) Close() {
	c.pool.Close()
	_ = c.group.Wait()
}

// Get returns one row.
func (c *Client) Get(ctx context.Context, table, key string) (Row, error) {
	var row Row
	c.counts.reads.Inc(1)
	err := c.call(ctx, call{op: "get " + table, method: fasthttp.MethodGet, name: table + "/" + key,
		path: PathTable + url.PathEscape(table) + "/" + url.PathEscape(key)}, &row)
	return row, err
}

// Scan returns the rows of a table whose keys begin with prefix, sorted by
// key.
func (c *Client) Scan(ctx context.Context, table, prefix string) ([]Row, error) {
	var rows []Row
	c.counts.reads.Inc(1)
	err := c.call(ctx, call{op: "scan " + table, method: fasthttp.MethodGet, name: table,
		path: PathScan + url.PathEscape(table) + "?prefix=" + url.QueryEscape(prefix)}, &rows)
	return rows, err
}

// Commit applies ops together or not at all.
func (c *Client) Commit(ctx context.Context, ops []Op) error {
	c.counts.writes.Inc(1)
	return c.send(ctx, call{op: "commit", method: fasthttp.MethodPost, path: PathCommit}, ops)
}

// PutObject stores data under name.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	c.counts.writes.Inc(1)
	return c.call(ctx, call{op: "put object", method: fasthttp.MethodPut, path: PathObject + url.PathEscape(name), body: data}, nil)
}

// Object returns the object under name.
func (c *Client) Object(ctx context.Context, name string) ([]byte, error) {
	var data []byte
	c.counts.reads.Inc(1)
	err := c.call(ctx, call{op: "object", method: fasthttp.MethodGet, name: "object " + name,
		path: PathObject + url.PathEscape(name)}, &data)
	return data, err
}

// Hosts returns the list of live and leaving hosts, sorted by name.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	c.counts.reads.Inc(1)
	list := *c.hosts.Load()
	err := c.call(ctx, call{op: "hosts", method: fasthttp.MethodGet, path: PathHosts, tag: list.tag}, &list)
	if err != nil {
		return nil, err
	}
	c.hosts.Store(&list)
	return slices.Clone(list.hosts), nil
}

// Announce puts a host on the list, or replaces what is said of it.
func (c *Client) Announce(ctx context.Context, h Host) error {
	c.counts.writes.Inc(1)
	return c.send(ctx, call{op: "announce", method: fasthttp.MethodPost, path: PathHosts}, h)
}

// Withdraw takes a host off the list.
func (c *Client) Withdraw(ctx context.Context, name string) error {
	c.counts.writes.Inc(1)
	return c.call(ctx, call{op: "withdraw", method: fasthttp.MethodDelete, path: PathHosts + "?name=" + url.QueryEscape(name)}, nil)
}

// send encodes in as the body of q.
func (c *Client) send(ctx context.Context, q call, in any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return &UnavailableError{Op: q.op, Unsent: true, Err: err}
	}
	q.body = body
	return c.call(ctx, q, nil)
}
