package logs

import (
	"context"
	"io"
	"strconv"
	"sync/atomic"
)

// linesQueued bounds the lines that wait for a slow reader of the log.
const linesQueued = 4096

// Writer passes lines on to another writer without ever waiting for it: lines
// that don't fit into its queue are dropped, and their number is written once
// there is room. It implements zapcore.WriteSyncer and may be used concurrently.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
}

// NewWriter returns a Writer to out. Run has to run for lines to be written.
func NewWriter(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, linesQueued)}
}

// Write implements io.Writer. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer.
func (w *Writer) Sync() error { return nil }

// Dropped returns how many lines were dropped and not yet reported.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Run writes lines until ctx ends and none is left. It always returns nil, so
// that it can be a member of a group: a log that can't be written is no reason to
// stop.
func (w *Writer) Run(ctx context.Context) error {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-ctx.Done():
			w.drain()
			return nil
		}
	}
}

// drain writes what is queued.
func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

func (w *Writer) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = io.WriteString(w.out, `{"level":"warn","text":"log lines dropped","count":`+strconv.FormatInt(n, 10)+"}\n")
	}
	_, _ = w.out.Write(line) // Nobody could be told.
}
