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
	dialTime = 5 * time.Second
	// Patience is how long the operators' door may be silent: it writes a line
	// more often than that while it has nothing to say.
	Patience  = time.Minute
	maxAnswer = 64 << 20 // bytes of an answer that is not a stream
	bearer    = "Bearer "
)

// Client calls one door. It may be used concurrently.
type Client struct {
	base   string
	secret string
	http   *fasthttp.Client
	group  errgroup.Group
}

// New returns a Client of the door at address, an IP number with a port. If
// authority is not empty the door has to show a certificate that the authority
// in that PEM file signed.
// patience is how long the door may be silent; any time if it is 0.
func New(address, secret, authority string, patience time.Duration) (*Client, error) {
	c := &Client{base: "http://" + address, secret: secret}
	c.http = &fasthttp.Client{
		NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1, MaxResponseBodySize: maxAnswer, StreamResponseBody: true, ReadTimeout: patience,
		Dial: func(addr string) (net.Conn, error) { return fasthttp.DialTimeout(addr, dialTime) },
	}
	if authority == "" {
		return c, nil
	}
	pem, err := os.ReadFile(authority)
	if err != nil {
		return nil, &AuthorityError{Path: authority, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &AuthorityError{Path: authority}
	}
	c.base = "https://" + address
	c.http.TLSConfig = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	return c, nil
}

// Query is the query of a request.
type Query map[string]string

// Answer is a whole answer.
type Answer struct {
	Status int
	Header Headers
	Body   []byte
}

// Call sends a request and returns its answer. in is sent as JSON unless it is
// nil. The error is a *ReachError, or the door's *admin.Failure for an answer
// with a status of 400 or above.
func (c *Client) Call(ctx context.Context, method, path string, q Query, in any) (Answer, error) {
	var out Answer
	err := c.Stream(ctx, method, path, q, in, func(status int, h Headers, line []byte) error {
		out.Status, out.Header = status, h
		out.Body = append(out.Body, line...)
		return nil
	})
	return out, err
}

// send returns the response of a request, whose body is still to be read.
func (c *Client) send(ctx context.Context, method, path string, q Query, in any) (*fasthttp.Response, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	req.Header.SetMethod(method)
	req.SetRequestURI(c.base + path + q.encode())
	if c.secret != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, bearer+c.secret)
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

// failure returns the door's failure from the body of an answer.
func failure(status int, body []byte) error {
	f := new(admin.Failure)
	if err := json.Unmarshal(body, f); err == nil && f.Code != "" {
		return f
	}
	return &StatusError{Status: status, Body: string(bytes.TrimSpace(body))}
}
