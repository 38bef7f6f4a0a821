package serve

import (
	"context"
	"encoding/json"
	"errors"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/store"
)

// callTimeout bounds a call to the platform or to an endpoint, which fault
// switches may delay. After it the connection is closed without a response.
const callTimeout = time.Minute

// Platform serves a store.Memory over HTTP. A call whose response is lost by a
// fault switch ends with a closed connection.
type Platform struct {
	memory *store.Memory
}

// NewPlatform returns a Platform that serves memory.
func NewPlatform(memory *store.Memory) *Platform { return &Platform{memory: memory} }

// Handle serves one request.
func (p *Platform) Handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Request.URI().PathOriginal())
	switch {
	case strings.HasPrefix(path, store.PathTable):
		p.get(ctx, strings.TrimPrefix(path, store.PathTable))
	case strings.HasPrefix(path, store.PathScan):
		p.scan(ctx, strings.TrimPrefix(path, store.PathScan))
	case strings.HasPrefix(path, store.PathObject):
		p.object(ctx, strings.TrimPrefix(path, store.PathObject))
	case path == store.PathCommit:
		p.commit(ctx)
	case path == store.PathHosts:
		p.hosts(ctx)
	case path == store.PathFault:
		p.fault(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (p *Platform) get(ctx *fasthttp.RequestCtx, rest string) {
	name, key, _ := strings.Cut(rest, "/")
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	row, err := p.memory.Get(callCtx, unescape(name), unescape(key))
	writeStoreResult(ctx, row, err)
}

func (p *Platform) scan(ctx *fasthttp.RequestCtx, rest string) {
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	rows, err := p.memory.Scan(callCtx, unescape(rest), string(ctx.QueryArgs().Peek("prefix")))
	writeStoreResult(ctx, rows, err)
}

func (p *Platform) object(ctx *fasthttp.RequestCtx, rest string) {
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if ctx.IsPut() {
		writeStoreResult(ctx, nil, p.memory.PutObject(callCtx, unescape(rest), ctx.PostBody()))
		return
	}
	data, err := p.memory.Object(callCtx, unescape(rest))
	if err != nil {
		writeStoreResult(ctx, nil, err)
		return
	}
	ctx.SetBody(data)
}

func (p *Platform) commit(ctx *fasthttp.RequestCtx) {
	var ops []store.Op
	if !decode(ctx, &ops) {
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	writeStoreResult(ctx, nil, p.memory.Commit(callCtx, ops))
}

func (p *Platform) hosts(ctx *fasthttp.RequestCtx) {
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	switch {
	case ctx.IsPost():
		var h store.Host
		if decode(ctx, &h) {
			writeStoreResult(ctx, nil, p.memory.Announce(callCtx, h))
		}
	case ctx.IsDelete():
		writeStoreResult(ctx, nil, p.memory.Withdraw(callCtx, string(ctx.QueryArgs().Peek("name"))))
	default:
		list, err := p.memory.Hosts(callCtx)
		writeStoreResult(ctx, list, err)
		setETag(ctx)
	}
}

func (p *Platform) fault(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var f store.Faults
		if !decode(ctx, &f) {
			return
		}
		p.memory.SetFaults(f)
	}
	writeStoreResult(ctx, p.memory.Faults(), nil)
}

// writeStoreResult writes v as JSON, or the status and body for err. For a
// *store.UnavailableError and other unknown errors it closes the connection.
func writeStoreResult(ctx *fasthttp.RequestCtx, v any, err error) {
	var (
		missing  *store.MissingError
		conflict *store.ConflictError
	)
	switch {
	case err == nil && v == nil:
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case err == nil:
		writeJSON(ctx, fasthttp.StatusOK, v)
	case errors.As(err, &missing):
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	case errors.As(err, &conflict):
		writeJSON(ctx, fasthttp.StatusConflict, conflict)
	default:
		closeUnanswered(ctx)
	}
}

// setETag sets the ETag to a hash of the body. If the request's If-None-Match is
// the same it replaces the response by 304 Not Modified without a body.
func setETag(ctx *fasthttp.RequestCtx) {
	if ctx.Response.StatusCode() != fasthttp.StatusOK {
		return
	}
	tag := strconv.Quote(strconv.FormatUint(xxhash.Sum64(ctx.Response.Body()), 16))
	ctx.Response.Header.Set(fasthttp.HeaderETag, tag)
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == tag {
		ctx.Response.ResetBody()
		ctx.SetStatusCode(fasthttp.StatusNotModified)
	}
}

// unescape decodes a path segment, or returns it unchanged if it is malformed.
func unescape(s string) string {
	plain, err := url.PathUnescape(s)
	if err != nil {
		return s
	}
	return plain
}

// decode decodes the JSON body of a request into v. If that fails it responds
// with status 400 and returns false.
func decode(ctx *fasthttp.RequestCtx, v any) bool {
	if err := json.Unmarshal(ctx.PostBody(), v); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	_ = json.NewEncoder(ctx).Encode(v)
}
