package main

import (
	"encoding/json"
	"sync"

	"github.com/valyala/fasthttp"
)

// faultPath is the page with the fault switches.
const faultPath = "/fault"

// faults is the link's fault switch, set over HTTP when the settings allow
// it. It may be used concurrently.
type faults struct {
	mu  sync.Mutex // guards cut
	cut map[string]bool
}

func newFaults() *faults { return &faults{cut: make(map[string]bool)} }

// Open implements link.Gate.
func (f *faults) Open(peer string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.cut[peer]
}

// cutList is the body of a POST: the names and addresses of all processes
// from which this one is cut off.
type cutList struct {
	Cut []string `json:"cut"`
}

// page takes a cut list.
func (f *faults) page(ctx *fasthttp.RequestCtx) {
	var list cutList
	if !ctx.IsPost() || json.Unmarshal(ctx.PostBody(), &list) != nil {
		ctx.Error(`POST {"cut": ["name or address", …]}`, fasthttp.StatusBadRequest)
		return
	}
	cut := make(map[string]bool, len(list.Cut))
	for _, peer := range list.Cut {
		cut[peer] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}
