package point

import (
	"context"
	"sync"
)

// watch calls a function when a context ends, unless end was called before.
type watch struct {
	mu   sync.Mutex // guards over
	over bool
	stop func() bool // cancels the context's callback
}

// begin starts the watch. It must be called once, before end.
func (w *watch) begin(ctx context.Context, f func()) {
	w.stop = context.AfterFunc(ctx, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.over {
			f()
		}
	})
}

// end waits for a call in progress and prevents later ones. It may be called
// more than once.
func (w *watch) end() {
	w.mu.Lock()
	w.over = true
	w.mu.Unlock()
	w.stop()
}
