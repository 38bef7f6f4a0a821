package site

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/dial"
)

// pageTime bounds one read of a page.
const pageTime = 2 * time.Second

// pages reads the pages of processes and sets their fault switches.
type pages struct {
	http *fasthttp.Client
	pool dial.Pool
}

func newPages() *pages {
	p := &pages{http: &fasthttp.Client{NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1}}
	p.http.DialTimeout = p.pool.Dial
	return p
}

func (p *pages) close() { p.pool.Close() }

// get reads a page.
func (p *pages) get(address, path string) (int, []byte, error) {
	return p.http.GetTimeout(nil, "http://"+address+path, pageTime)
}

// post sends v as JSON.
func (p *pages) post(address, path string, v any) error {
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
	if err := p.http.DoTimeout(req, res, pageTime); err != nil {
		return err
	}
	if res.StatusCode()/100 != 2 {
		return &StatusError{Address: address + path, Status: res.StatusCode()}
	}
	return nil
}

// ready returns why the process with that page isn't ready, or an empty
// text.
func (p *pages) ready(address string) string {
	status, body, err := p.get(address, "/ready")
	if err != nil {
		return err.Error()
	}
	if status != fasthttp.StatusOK {
		return strings.TrimSpace(string(body))
	}
	return ""
}

// version returns the configuration version that a process has in force, 0
// if it can't be seen.
func (p *pages) version(address string) uint64 {
	status, body, err := p.get(address, "/metrics")
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

// PageError reports a page that answered with a failure.
type StatusError struct {
	Address string
	Status  int
}

// Error implements error.
func (e *StatusError) Error() string { return e.Address + ": status " + strconv.Itoa(e.Status) }
