package store

import (
	"sort"
	"sync"
	"time"
)

// hosts is the list of live and leaving hosts of a Memory. Changes are seen
// only after its lag.
type hosts struct {
	mu     sync.Mutex // guards the fields below
	lag    time.Duration
	seen   map[string]Host
	hidden []hiddenHost // in the order of their moments
}

type hiddenHost struct {
	at   time.Duration // moment from which the change is seen
	host Host
	gone bool
}

func (h *hosts) change(now, lag time.Duration, host Host, gone bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.showLocked(now)
	at := now + max(lag, h.lag)
	if n := len(h.hidden); n > 0 {
		at = max(at, h.hidden[n-1].at)
	}
	h.hidden = append(h.hidden, hiddenHost{at: at, host: host, gone: gone})
	h.showLocked(now)
}

// list returns what is seen, sorted by name.
func (h *hosts) list(now time.Duration) []Host {
	h.mu.Lock()
	h.showLocked(now)
	all := make([]Host, 0, len(h.seen))
	for _, host := range h.seen {
		all = append(all, host)
	}
	h.mu.Unlock()
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	return all
}

func (h *hosts) showLocked(now time.Duration) {
	for len(h.hidden) > 0 && h.hidden[0].at <= now {
		next := h.hidden[0]
		h.hidden = h.hidden[1:]
		if next.gone {
			delete(h.seen, next.host.Name)
			continue
		}
		h.seen[next.host.Name] = next.host
	}
}
