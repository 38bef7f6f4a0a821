package serve

import (
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// PathCut is the path that cuts a PartitionHandler off (?on=true) or reconnects it.
const PathCut = "/cut"

// PartitionHandler serves one address of the platform, which can be cut off to
// simulate a network partition: requests then get no response, and their
// connections are closed.
type PartitionHandler struct {
	handler fasthttp.RequestHandler
	cut     atomic.Bool
}

// NewPartitionHandler returns a connected PartitionHandler that passes requests on to h.
func NewPartitionHandler(h fasthttp.RequestHandler) *PartitionHandler {
	return &PartitionHandler{handler: h}
}

// Handle serves one request.
func (p *PartitionHandler) Handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == PathCut {
		p.cut.Store(ctx.QueryArgs().GetBool("on"))
		ctx.SetStatusCode(fasthttp.StatusNoContent)
		return
	}
	if p.cut.Load() {
		closeUnanswered(ctx)
		return
	}
	p.handler(ctx)
}
