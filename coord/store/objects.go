package store

import (
	"bytes"
	"sync"
	"time"
)

// objects is the object store of a Memory. What is put is seen only after
// its lag.
type objects struct {
	mu     sync.Mutex // guards the fields below
	lag    time.Duration
	seen   map[string][]byte
	hidden []hiddenObject // in the order of their moments
}

type hiddenObject struct {
	at   time.Duration // moment from which it is seen
	name string
	data []byte
}

func (o *objects) put(now, lag time.Duration, name string, data []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.showLocked(now)
	at := now + max(lag, o.lag)
	if n := len(o.hidden); n > 0 {
		at = max(at, o.hidden[n-1].at)
	}
	o.hidden = append(o.hidden, hiddenObject{at: at, name: name, data: bytes.Clone(data)})
	o.showLocked(now)
}

func (o *objects) get(now time.Duration, name string) ([]byte, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.showLocked(now)
	data, ok := o.seen[name]
	return bytes.Clone(data), ok
}

func (o *objects) showLocked(now time.Duration) {
	for len(o.hidden) > 0 && o.hidden[0].at <= now {
		o.seen[o.hidden[0].name] = o.hidden[0].data
		o.hidden = o.hidden[1:]
	}
}
