package store

import (
	"sort"
	"sync"
	"time"
)

// hosts is the list of live and leaving hosts of a Memory. Changes become
// visible after a delay, in the order in which they were made.
type hosts struct {
	mu      sync.Mutex    // guards the fields below
	lag     time.Duration // minimum delay
	visible map[string]Host
	pending []pendingHost // sorted by visibleAt
}

// pendingHost is a change that isn't visible yet.
type pendingHost struct {
	visibleAt time.Duration // time since boot
	host      Host
	removed   bool
}

// schedule makes a change visible after the longer of lag and h.lag, and not
// before earlier changes. now is the time since boot.
func (h *hosts) schedule(now, lag time.Duration, host Host, removed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.applyDueLocked(now)
	visibleAt := now + max(lag, h.lag)
	if n := len(h.pending); n > 0 {
		visibleAt = max(visibleAt, h.pending[n-1].visibleAt)
	}
	h.pending = append(h.pending, pendingHost{visibleAt: visibleAt, host: host, removed: removed})
	h.applyDueLocked(now)
}

// list returns the visible hosts, sorted by name.
func (h *hosts) list(now time.Duration) []Host {
	h.mu.Lock()
	h.applyDueLocked(now)
	all := make([]Host, 0, len(h.visible))
	for _, host := range h.visible {
		all = append(all, host)
	}
	h.mu.Unlock()
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

// applyDueLocked makes the changes visible that are due at now.
func (h *hosts) applyDueLocked(now time.Duration) {
	for len(h.pending) > 0 && h.pending[0].visibleAt <= now {
		next := h.pending[0]
		h.pending = h.pending[1:]
		if next.removed {
			delete(h.visible, next.host.Name)
			continue
		}
		h.visible[next.host.Name] = next.host
	}
}
