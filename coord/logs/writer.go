package logs

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
)

// queueSize is the maximum number of queued lines.
const queueSize = 4096

// Writer writes lines to another writer asynchronously, so that logging never
// blocks on a slow reader. It drops lines when its queue of 4096 lines is full
// and logs their number with the next line that it writes. It implements
// zapcore.WriteSyncer. All methods but Run may be called concurrently.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a Writer to out. Lines are only written while Run is running.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, queue: make(chan []byte, queueSize)}
}

// Write implements io.Writer. It queues a copy of line and never fails or blocks.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing.
func (w *Writer) Sync() error { return nil }

// Dropped returns the number of dropped lines that haven't been logged yet.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes queued lines until ctx ends and the queue is empty. It ignores write
// errors and always returns nil, so that a log that can't be written doesn't
// stop the errgroup.Group that Run belongs to.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		case <-ctx.Done():
			w.writeQueued()
			return nil
		}
	}
}

// writeQueued writes lines until the queue is empty.
func (w *Writer) writeQueued() {
	for {
		select {
		case line := <-w.queue:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line, preceded by the number of lines dropped before it.
func (w *Writer) writeLine(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = io.WriteString(w.out, `{"level":"warn","text":"log lines dropped","count":`+strconv.FormatInt(n, 10)+"}\n")
	}
	_, _ = w.out.Write(line) // There is nowhere to report an error.
}
