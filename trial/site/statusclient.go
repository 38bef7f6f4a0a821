package site

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/dial"
)

// requestTimeout bounds one HTTP request to a process.
const requestTimeout = 2 * time.Second

// statusClient reads status pages and logs of processes over HTTP and sets
// their fault switches.
type statusClient struct {
	http *fasthttp.Client
	pool dial.Pool
}

func newStatusClient() *statusClient {
	c := &statusClient{http: &fasthttp.Client{NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1}}
	c.http.DialTimeout = c.pool.Dial
	return c
}

func (c *statusClient) close() { c.pool.Close() }

// get returns the status code and the body of a GET request.
func (c *statusClient) get(address, path string) (int, []byte, error) {
	return c.http.GetTimeout(nil, "http://"+address+path, requestTimeout)
}

// post sends v as JSON. It returns a *StatusError for a status other than 2xx.
func (c *statusClient) post(address, path string, v any) error {
	body, err := json.Marshal(v)
	if err != nil {
		return err
	}
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + path)
	req.SetBodyRaw(body)
	if err := c.http.DoTimeout(req, res, requestTimeout); err != nil {
		return err
	}
	if res.StatusCode()/100 != 2 {
		return &StatusError{Address: address + path, Status: res.StatusCode()}
	}
	return nil
}

// notReadyReason returns why the process with that status address isn't ready,
// or an empty string if it is.
func (c *statusClient) notReadyReason(address string) string {
	status, body, err := c.get(address, "/ready")
	if err != nil {
		return err.Error()
	}
	if status != fasthttp.StatusOK {
		return strings.TrimSpace(string(body))
	}
	return ""
}

// version returns the configuration version that a process reports as in force,
// 0 if it can't be read.
func (c *statusClient) version(address string) uint64 {
	status, body, err := c.get(address, "/metrics")
	if err != nil || status != fasthttp.StatusOK {
		return 0
	}
	var all map[string]map[string]json.Number
	if json.Unmarshal(body, &all) != nil {
		return 0
	}
	n, _ := strconv.ParseUint(all["config.version"]["value"].String(), 10, 64)
	return n
}

// StatusError reports a response with a status other than 2xx.
type StatusError struct {
	Address string
	Status  int
}

// Error implements error.
func (e *StatusError) Error() string { return e.Address + ": status " + strconv.Itoa(e.Status) }
