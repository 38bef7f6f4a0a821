package relay

import (
	"github.com/cespare/xxhash/v2"

	"github.com/balsamford/balsamford/coord/wire"
)

// bufferBytes is how much of an answer is buffered before its first bytes are
// forwarded. Until then the request can still be retried.
const bufferBytes = 64 << 10

// answer buffers the answer of one attempt. An answer larger than bufferBytes is
// streamed to the sink.
type answer struct {
	sink       Sink
	buffer     []byte
	streaming  bool // bytes were forwarded to the sink
	sinkFailed bool // the sink returned an error; nothing more is forwarded
	size       int64
	sum        *xxhash.Digest
}

func newAnswer(sink Sink) *answer { return &answer{sink: sink, sum: xxhash.New()} }

// reset discards the answer of an attempt. It must not be called when streaming
// is set.
func (a *answer) reset() {
	a.buffer, a.size = nil, 0
	a.sum.Reset()
}

func (a *answer) add(p []byte) {
	a.size += int64(len(p))
	_, _ = a.sum.Write(p)
	if !a.streaming && len(a.buffer)+len(p) <= bufferBytes {
		a.buffer = append(a.buffer, p...)
		return
	}
	if !a.streaming {
		a.streaming = true
		a.forward(a.buffer)
		a.buffer = nil
	}
	a.forward(p)
}

func (a *answer) forward(p []byte) {
	if a.sinkFailed || len(p) == 0 {
		return
	}
	if err := a.sink.Chunk(p); err != nil {
		a.sinkFailed = true
	}
}

// complete reports whether size and checksum of the answer match those of the
// outcome event.
func (a *answer) complete(ev *wire.Event) bool {
	if ev.Size != a.size {
		return false
	}
	return a.size == 0 && ev.Sum == 0 || ev.Sum == a.sum.Sum64()
}
