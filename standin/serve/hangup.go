package serve

import (
	"net"

	"github.com/valyala/fasthttp"
)

// hangUp closes the connection without an answer.
func hangUp(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}
