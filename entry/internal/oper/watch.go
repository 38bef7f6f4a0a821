package oper

import (
	"bufio"
	"encoding/json"

	"github.com/valyala/fasthttp"

	"github.com/balsamford/balsamford/coord/admin"
	"github.com/balsamford/balsamford/coord/config"
)

// watch writes a line for each version that this host applies, until the
// reader leaves or the door stops. A line without a change is written now and
// then to find out whether the reader is still there.
func (d *Door) watch(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/x-ndjson")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		var last *config.Snapshot
		for {
			snap := d.follower.Current()
			if snap != nil && json.NewEncoder(w).Encode(d.watched(last, snap)) != nil || w.Flush() != nil {
				return
			}
			last = snap
			if !d.await(snap) {
				return
			}
		}
	})
}

// await waits for a version other than snap, at most for a while. It reports
// whether the door still runs.
func (d *Door) await(snap *config.Snapshot) bool {
	c, cancel := d.timeout(idleTime)
	defer cancel()
	for d.follower.Current() == snap && c.Err() == nil {
		_ = d.timers.Sleep(c, watchInterval)
	}
	return d.ctx.Err() == nil
}

func (d *Door) watched(last, snap *config.Snapshot) admin.Step {
	head := d.follower.Head()
	step := admin.Step{ID: head.Publish, Version: snap.Version()}
	if last != nil {
		step.Changes = config.Compare(last.Set(), snap.Set())
	}
	return step
}
