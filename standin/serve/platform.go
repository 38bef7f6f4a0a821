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

// patience is how long a call of the platform may be held up by its fault
// switches before the connection is closed.
const patience = time.Minute

// Platform serves a store.Memory over HTTP. Calls that the fault switches
// leave unanswered end with a closed connection.
type Platform struct {
	memory *store.Memory
}

// NewPlatform returns a Platform over memory.
func NewPlatform(memory *store.Memory) *Platform { return &Platform{memory: memory} }

// Handle answers one request.
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
	limit, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	row, err := p.memory.Get(limit, unescape(name), unescape(key))
	answer(ctx, row, err)
}

func (p *Platform) scan(ctx *fasthttp.RequestCtx, rest string) {
	limit, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	rows, err := p.memory.Scan(limit, unescape(rest), string(ctx.QueryArgs().Peek("prefix")))
	answer(ctx, rows, err)
}

func (p *Platform) object(ctx *fasthttp.RequestCtx, rest string) {
	limit, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if ctx.IsPut() {
		answer(ctx, nil, p.memory.PutObject(limit, unescape(rest), ctx.PostBody()))
		return
	}
	data, err := p.memory.Object(limit, unescape(rest))
	if err != nil {
		answer(ctx, nil, err)
		return
	}
	ctx.SetBody(data)
}

func (p *Platform) commit(ctx *fasthttp.RequestCtx) {
	var ops []store.Op
	if !decode(ctx, &ops) {
		return
	}
	limit, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	answer(ctx, nil, p.memory.Commit(limit, ops))
}

func (p *Platform) hosts(ctx *fasthttp.RequestCtx) {
	limit, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	switch {
	case ctx.IsPost():
		var h store.Host
		if decode(ctx, &h) {
			answer(ctx, nil, p.memory.Announce(limit, h))
		}
	case ctx.IsDelete():
		answer(ctx, nil, p.memory.Withdraw(limit, string(ctx.QueryArgs().Peek("name"))))
	default:
		list, err := p.memory.Hosts(limit)
		answer(ctx, list, err)
		unchanged(ctx)
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
	answer(ctx, p.memory.Faults(), nil)
}

// answer writes v, or the failure err.
func answer(ctx *fasthttp.RequestCtx, v any, err error) {
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
		hangUp(ctx)
	}
}

// unchanged tags the answer by its body, which it leaves out if the caller knows
// that one.
func unchanged(ctx *fasthttp.RequestCtx) {
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

func unescape(s string) string {
	plain, err := url.PathUnescape(s)
	if err != nil {
		return s
	}
	return plain
}

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
