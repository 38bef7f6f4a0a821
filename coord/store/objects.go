package store

import (
	"bytes"
	"sync"
	"time"
)

// objects is the object store of a Memory. A put object becomes visible after a
// delay, in the order of the puts.
type objects struct {
	mu      sync.Mutex    // guards the fields below
	lag     time.Duration // minimum delay
	visible map[string][]byte
	pending []pendingObject // sorted by visibleAt
}

// pendingObject is an object that isn't visible yet.
type pendingObject struct {
	visibleAt time.Duration // time since boot
	name      string
	data      []byte
}

// put stores a copy of data, visible after the longer of lag and o.lag and not
// before earlier puts. now is the time since boot.
func (o *objects) put(now, lag time.Duration, name string, data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applyDueLocked(now)
	visibleAt := now + max(lag, o.lag)
	if n := len(o.pending); n > 0 {
		visibleAt = max(visibleAt, o.pending[n-1].visibleAt)
	}
	o.pending = append(o.pending, pendingObject{visibleAt: visibleAt, name: name, data: bytes.Clone(data)})
	o.applyDueLocked(now)
}

func (o *objects) get(now time.Duration, name string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.applyDueLocked(now)
	data, ok := o.visible[name]
	return bytes.Clone(data), ok
}

// applyDueLocked makes the objects visible that are due at now.
func (o *objects) applyDueLocked(now time.Duration) {
	for len(o.pending) > 0 && o.pending[0].visibleAt <= now {
		o.visible[o.pending[0].name] = o.pending[0].data
		o.pending = o.pending[1:]
	}
}
