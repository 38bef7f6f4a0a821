package daemon

import (
	"encoding/json"
	"sync"

	"github.com/valyala/fasthttp"
)

// gate is a fault switch that disconnects a placer from peers. It is served
// only if the settings enable fault switches.
type gate struct {
	mu  sync.Mutex // guards cut
	cut map[string]bool
}

// cutRequest is the body of a POST to the switch. It replaces the set of peers
// that are cut off.
type cutRequest struct {
	Cut []string `json:"cut"` // names or addresses of peers
}

func newGate() *gate { return &gate{cut: make(map[string]bool)} }

// Open implements link.Gate.
func (g *gate) Open(peer string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.cut[peer]
}

func (g *gate) serve(ctx *fasthttp.RequestCtx) {
	var in cutRequest
	if !ctx.IsPost() || json.Unmarshal(ctx.PostBody(), &in) != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	cut := make(map[string]bool, len(in.Cut))
	for _, name := range in.Cut {
		cut[name] = true
	}
	g.mu.Lock()
	g.cut = cut
	g.mu.Unlock()
}
