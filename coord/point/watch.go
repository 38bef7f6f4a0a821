package point

import (
	"context"
	"sync"
)

// watch calls a function when a context ends, unless it was ended before.
type watch struct {
	mu   sync.Mutex // guards over
	over bool
	stop func() bool
}

func (w *watch) begin(ctx context.Context, f func()) {
	w.stop = context.AfterFunc(ctx, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.over {
			f()
		}
	})
}

// end makes sure that the function isn't called from now on.
func (w *watch) end() {
	w.mu.Lock()
	w.over = true
	w.mu.Unlock()
	w.stop()
}
