package relay

import (
	"github.com/cespare/xxhash/v2"

	"github.com/balsamford/balsamford/coord/wire"
)

// holdBytes is how much of an answer is held before its first bytes are
// passed on. Until then the request can be sent again.
const holdBytes = 64 << 10

// answer collects one attempt's answer.
type answer struct {
	sink  Sink
	held  []byte
	begun bool // bytes were passed on
	gone  bool // the sink takes no more
	size  int64
	sum   *xxhash.Digest
}

func newAnswer(sink Sink) *answer { return &answer{sink: sink, sum: xxhash.New()} }

// reset forgets an attempt's answer. It must not be called once begun.
func (a *answer) reset() {
	a.held, a.size = nil, 0
	a.sum.Reset()
}

func (a *answer) add(p []byte) {
	a.size += int64(len(p))
	_, _ = a.sum.Write(p)
	if !a.begun && len(a.held)+len(p) <= holdBytes {
		a.held = append(a.held, p...)
		return
	}
	if !a.begun {
		a.begun = true
		a.pass(a.held)
		a.held = nil
	}
	a.pass(p)
}

func (a *answer) pass(p []byte) {
	if a.gone || len(p) == 0 {
		return
	}
	if err := a.sink.Chunk(p); err != nil {
		a.gone = true
	}
}

// whole reports whether the answer is the one that the event describes.
func (a *answer) whole(ev *wire.Event) bool {
	if ev.Size != a.size {
		return false
	}
	return a.size == 0 && ev.Sum == 0 || ev.Sum == a.sum.Sum64()
}
