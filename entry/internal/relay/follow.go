package relay

import (
	"context"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/wire"
)

// Follow reads the events of a request that another entry process runs, from
// the stream on which the request was sent. It reports false if the stream
// broke before the outcome.
func (r *Runner) Follow(ctx context.Context, s *link.Stream, id string, sink Sink) (Result, bool) {
	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()
	d := &dispatch{runner: r, req: wire.Request{ID: id}, answer: newAnswer(sink), reqCtx: ctx}
	t := d.receive(s, func() {})
	if d.answer.streaming {
		t.res.Streamed = true
	}
	return t.res, !t.streamLost && !t.unsent
}
