package main

import (
	"encoding/json"
	"sync"

	"github.com/valyala/fasthttp"
)

// faultPath is the path of the page that injects link faults.
const faultPath = "/fault"

// faults is a link.Gate that drops the traffic of chosen peers, for fault
// injection in tests. It is set over HTTP if the settings enable that. It may
// be used concurrently.
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

// cutList is the body of a POST request: the names and addresses of all peers
// whose traffic is dropped. It replaces the previous list.
type cutList struct {
	Cut []string `json:"cut"`
}

// page handles a POST request with a cutList.
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
