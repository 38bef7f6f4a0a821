package relay

import (
	"context"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/wire"
)

// Follow reads the events of a request that another entry process runs, from
// a stream on which the request has been sent. It reports false if the stream
// broke off before the outcome; the result then says what is known.
func (r *Runner) Follow(ctx context.Context, s *link.Stream, id string, sink Sink) (Result, bool) {
	stop := context.AfterFunc(ctx, s.Cancel)
	defer stop()
	j := &journey{runner: r, req: wire.Request{ID: id}, answer: newAnswer(sink), wanted: ctx}
	t := j.receive(s, func() {})
	if j.answer.begun {
		t.res.Streamed = true
	}
	return t.res, !t.broken && !t.unsent
}
