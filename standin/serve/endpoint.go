package serve

import (
	"context"
	"errors"
	"io"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
)

// Endpoint serves an engine.Endpoint over HTTP. A call whose response is lost
// by a fault switch ends with a closed connection.
type Endpoint struct {
	engine *engine.Endpoint
}

// NewEndpoint returns an Endpoint that serves e.
func NewEndpoint(e *engine.Endpoint) *Endpoint { return &Endpoint{engine: e} }

// Handle serves one request.
func (p *Endpoint) Handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case point.PathFault:
		p.fault(ctx)
		return
	case point.PathLog:
		_, _ = p.engine.Log().WriteTo(ctx)
		return
	}
	callCtx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	switch string(ctx.Path()) {
	case point.PathOpen:
		p.open(callCtx, ctx)
	case point.PathRenew:
		p.renew(callCtx, ctx)
	case point.PathRelease:
		p.release(callCtx, ctx)
	case point.PathStart:
		p.start(callCtx, ctx)
	case point.PathRun:
		p.run(callCtx, ctx)
	case point.PathStop:
		p.stop(callCtx, ctx)
	case point.PathTasks:
		v, err := p.engine.View(callCtx)
		writePointResult(ctx, v, err)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (p *Endpoint) open(callCtx context.Context, ctx *fasthttp.RequestCtx) {
	var in point.Open
	if decode(ctx, &in) {
		v, err := p.engine.Open(callCtx, in)
		writePointResult(ctx, v, err)
	}
}

func (p *Endpoint) renew(callCtx context.Context, ctx *fasthttp.RequestCtx) {
	var in point.Renew
	if decode(ctx, &in) {
		r, err := p.engine.Renew(callCtx, in)
		writePointResult(ctx, r, err)
	}
}

func (p *Endpoint) release(callCtx context.Context, ctx *fasthttp.RequestCtx) {
	var in point.Owner
	if decode(ctx, &in) {
		writePointResult(ctx, nil, p.engine.Release(callCtx, in))
	}
}

func (p *Endpoint) start(callCtx context.Context, ctx *fasthttp.RequestCtx) {
	var in point.Start
	if !decode(ctx, &in) {
		return
	}
	if err := p.engine.Start(callCtx, in); err != nil {
		writePointResult(ctx, nil, err)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusAccepted)
}

func (p *Endpoint) stop(callCtx context.Context, ctx *fasthttp.RequestCtx) {
	var in point.Stop
	if decode(ctx, &in) {
		writePointResult(ctx, nil, p.engine.Stop(callCtx, in))
	}
}

func (p *Endpoint) run(callCtx context.Context, ctx *fasthttp.RequestCtx) {
	var in point.Start
	if !decode(ctx, &in) {
		return
	}
	r, err := p.engine.Run(callCtx, in)
	if err != nil {
		writePointResult(ctx, nil, err)
		return
	}
	h := &ctx.Response.Header
	h.Set(point.HeaderID, r.ID)
	h.Set(point.HeaderAttempt, strconv.FormatUint(uint64(r.Attempt), 10))
	h.Set(point.HeaderEpoch, strconv.FormatUint(r.Epoch, 10))
	h.Set(point.HeaderSum, strconv.FormatUint(r.Sum, 16))
	body := r.Reader()
	if r.Short {
		body = io.LimitReader(body, int64(r.Size)/2)
	}
	ctx.SetBodyStream(body, r.Size)
}

func (p *Endpoint) fault(ctx *fasthttp.RequestCtx) {
	if ctx.IsPost() {
		var f engine.Faults
		if !decode(ctx, &f) {
			return
		}
		p.engine.SetFaults(f)
	}
	writeJSON(ctx, fasthttp.StatusOK, p.engine.Faults())
}

// writePointResult writes v as JSON, or the status and body for err. For a
// *point.LostError and other unknown errors it closes the connection.
func writePointResult(ctx *fasthttp.RequestCtx, v any, err error) {
	var (
		fenced  *point.FencedError
		refused *point.RefusedError
		failed  *point.FailedError
	)
	switch {
	case err == nil && v == nil:
		ctx.SetStatusCode(fasthttp.StatusNoContent)
	case err == nil:
		writeJSON(ctx, fasthttp.StatusOK, v)
	case errors.As(err, &fenced):
		writeJSON(ctx, fasthttp.StatusConflict, fenced)
	case errors.As(err, &refused):
		writeJSON(ctx, refusalStatus(refused.Reason), point.Refusal{Endpoint: refused.Endpoint, Reason: refused.Reason})
	case errors.As(err, &failed):
		writeJSON(ctx, fasthttp.StatusInternalServerError, failed)
	default:
		closeUnanswered(ctx)
	}
}

// refusalStatus returns the HTTP status for the reason of a *point.RefusedError.
func refusalStatus(reason string) int {
	switch reason {
	case wire.ReasonLeaving:
		return fasthttp.StatusServiceUnavailable
	case wire.ReasonBusy:
		return fasthttp.StatusInsufficientStorage
	case wire.ReasonInvalid:
		return fasthttp.StatusBadRequest
	}
	return fasthttp.StatusGone
}
