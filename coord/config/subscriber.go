package config

import "sync"

// watcher is one subscriber.
type subscriber struct {
	call func(*Snapshot)

	mu   sync.Mutex // held during call, so that versions arrive in order
	seen uint64
}

// tell calls the subscriber, unless it has seen that version or a later one.
func (w *subscriber) notify(s *Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.Version() <= w.seen {
		return
	}
	w.seen = s.Version()
	w.call(s)
}

// Subscribe calls fn with each version that is applied from now on, and with
// the current one if there is one. Calls come one after another with versions
// going up; some may be left out. fn must not block, nor call Subscribe.
func (f *Follower) Subscribe(fn func(*Snapshot)) {
	w := &subscriber{call: fn}
	f.mu.Lock()
	f.subscribers = append(f.subscribers, w)
	f.mu.Unlock()
	if s := f.Current(); s != nil {
		w.notify(s)
	}
}
