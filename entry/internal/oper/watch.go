package oper

import (
	"bufio"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/admin"
	"github.com/balsamford/balsamford/coord/config"
)

// serveWatch streams a JSON line for each version that this host applies, until
// the client disconnects or the server stops. After idleTimeout without a new
// version it repeats the last one without changes, to detect a client that has
// disconnected.
func (s *Server) serveWatch(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/x-ndjson")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		var last *config.Snapshot
		for {
			snap := s.follower.Current()
			if snap != nil && json.NewEncoder(w).Encode(s.watchStep(last, snap)) != nil || w.Flush() != nil {
				return
			}
			last = snap
			if !s.waitForVersion(snap) {
				return
			}
		}
	})
}

// waitForVersion waits up to idleTimeout for a version other than snap. It
// reports whether the server is still running.
func (s *Server) waitForVersion(snap *config.Snapshot) bool {
	c, cancel := s.withTimeout(idleTimeout)
	defer cancel()
	for s.follower.Current() == snap && c.Err() == nil {
		_ = s.clock.Sleep(c, watchInterval)
	}
	return s.ctx.Err() == nil
}

func (s *Server) watchStep(last, snap *config.Snapshot) admin.Step {
	head := s.follower.Head()
	step := admin.Step{ID: head.Publish, Version: snap.Version()}
	if last != nil {
		step.Changes = config.Compare(last.Set(), snap.Set())
	}
	return step
}
