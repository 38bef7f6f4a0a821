package config

import "sync"

// subscriber is one function passed to Subscribe.
type subscriber struct {
	call func(*Snapshot)

	mu   sync.Mutex // held during call, so that versions arrive in ascending order
	seen uint64
}

// notify calls the subscriber with s, unless it has been called with that
// version or a later one.
func (w *subscriber) notify(s *Snapshot) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if s.Version() <= w.seen {
		return
	}
	w.seen = s.Version()
	w.call(s)
}

// Subscribe calls fn with the current version, if there is one, and with each
// version applied from now on. Calls don't overlap and their versions ascend;
// some versions may be skipped. fn must not block or call Subscribe.
func (f *Follower) Subscribe(fn func(*Snapshot)) {
	w := &subscriber{call: fn}
	f.mu.Lock()
	f.subscribers = append(f.subscribers, w)
	f.mu.Unlock()
	if s := f.Current(); s != nil {
		w.notify(s)
	}
}
