package serve

import (
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// PathCut is the path that cuts a Door off (?on=true) or reconnects it.
const PathCut = "/cut"

// PartitionHandler is the handler of one address of the platform, which can be cut off to
// simulate a network partition: requests then get no response, and their
// connections are closed.
type PartitionHandler struct {
	handler fasthttp.RequestHandler
	cut     atomic.Bool
}

// NewPartitionHandler returns a connected Door that passes requests on to h.
func NewPartitionHandler(h fasthttp.RequestHandler) *PartitionHandler {
	return &PartitionHandler{handler: h}
}

// Handle serves one request.
func (d *PartitionHandler) Handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == PathCut {
		d.cut.Store(ctx.QueryArgs().GetBool("on"))
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	if d.cut.Load() {
		closeUnanswered(ctx)
		return
	}
	d.handler(ctx)
}
