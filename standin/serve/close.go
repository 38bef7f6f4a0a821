package serve

import (
	"net"

	"github.com/valyala/fasthttp"
)

// closeUnanswered closes the connection without a response.
func closeUnanswered(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}
