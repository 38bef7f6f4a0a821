package daemon

import (
	"encoding/json"
	"sync"

	"github.com/valyala/fasthttp"
)

// gate is the fault switch that cuts a placer off from peers. It is served
// only if the settings say so.
type gate struct {
	mu  sync.Mutex // guards cut
	cut map[string]bool
}

// cuts is the body of a POST to the switch; it replaces what was cut before.
type cuts struct {
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
	var in cuts
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
