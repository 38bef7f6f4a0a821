package serve

import (
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// PathCut cuts a Door off (POST PathCut?on=true) or opens it again.
const PathCut = "/cut"

// Door is one address of the platform. While it is cut off, connections are
// closed without an answer.
type Door struct {
	inner fasthttp.RequestHandler
	cut   atomic.Bool
}

// NewDoor returns an open Door in front of h.
func NewDoor(h fasthttp.RequestHandler) *Door { return &Door{inner: h} }

// Handle answers one request.
func (d *Door) Handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == PathCut {
		d.cut.Store(ctx.QueryArgs().GetBool("on"))
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	if d.cut.Load() {
		hangUp(ctx)
		return
	}
	d.inner(ctx)
}
