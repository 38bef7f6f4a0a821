package remote

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/admin"
)

const (
	dialTimeout = 5 * time.Second
	// OperatorReadTimeout is the read timeout for the operators' API, which sends a line
	// more often than that while a stream has no news.
	OperatorReadTimeout = time.Minute
	maxResponseBytes    = 64 << 20 // of a response that isn't streamed
	bearerPrefix        = "Bearer "
)

// Client calls one API of one host. It may be used concurrently.
type Client struct {
	base   string
	secret string
	http   *fasthttp.Client
	group  errgroup.Group
}

// New returns a Client of the API at address, an IP address with a port. secret is
// sent as the bearer token unless it is empty. If authorityPath is not empty the Client
// uses HTTPS and verifies the server's certificate against the authorities in that PEM
// file; an unusable file gives an *AuthorityError. readTimeout bounds how long the
// server may send nothing; 0 is unbounded.
func New(address, secret, authorityPath string, readTimeout time.Duration) (*Client, error) {
	c := &Client{base: "http://" + address, secret: secret}
	c.http = &fasthttp.Client{
		NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxResponseBytes, StreamResponseBody: true, ReadTimeout: readTimeout,
		Dial: func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, dialTimeout) },
	}
	if authorityPath == "" {
		return c, nil
	}
	pem, err := os.ReadFile(authorityPath)
	if err != nil {
		return nil, &AuthorityError{Path: authorityPath, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &AuthorityError{Path: authorityPath}
	}
	c.base = "https://" + address
	c.http.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	return c, nil
}

// Query holds the query parameters of a request. Empty values are left out.
type Query map[string]string

// Answer is a complete response with a status below 400.
type Answer struct {
	Status int
	Header Headers
	Body   []byte
}

// Call sends a request and returns its complete response. in is sent as JSON unless it
// is nil. The error is a *ReachError, or for a response with a status of 400 or above
// the *admin.Failure in its body, or a *StatusError if the body holds none. The
// context's error is returned if ctx ends while the body is read.
func (c *Client) Call(ctx context.Context, method, path string, q Query, in any) (Answer, error) {
	var out Answer
	err := c.Stream(ctx, method, path, q, in, func(status int, h Headers, line []byte) error {
		out.Status, out.Header = status, h
		out.Body = append(out.Body, line...)
		return nil
	})
	return out, err
}

// send sends a request and returns its response. The caller reads the body.
func (c *Client) send(ctx context.Context, method, path string, q Query, in any) (*fasthttp.Response, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI(c.base + path + q.encode())
	if c.secret != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, bearerPrefix+c.secret)
	}
	if in != nil {
		body, err := json.Marshal(in)
		if err != nil {
			return nil, &ReachError{Base: c.base, Err: err}
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	done := make(chan error, 1)
	c.group.Go(func() error {
		done <- c.http.Do(req, res)
		return nil
	})
	select {
	case err := <-done:
		if err != nil {
			return nil, &ReachError{Base: c.base, Err: err}
		}
		return res, nil
	case <-ctx.Done():
		return nil, &ReachError{Base: c.base, Err: ctx.Err()}
	}
}

func (q Query) encode() string {
	if len(q) == 0 {
		return ""
	}
	values := make(url.Values, len(q))
	for k, v := range q {
		if v != "" {
			values.Set(k, v)
		}
	}
	return "?" + values.Encode()
}

// parseFailure returns the *admin.Failure in a response body, or a *StatusError if
// there is none.
func parseFailure(status int, body []byte) error {
	f := new(admin.Failure)
	if err := json.Unmarshal(body, f); err == nil && f.Code != "" {
		return f
	}
	return &StatusError{Status: status, Body: string(bytes.TrimSpace(body))}
}
