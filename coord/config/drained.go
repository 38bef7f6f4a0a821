package config

import (
	"context"
	"slices"
	"time"
)

// drainInterval is the time between two reads of the drains.
const drainInterval = time.Second

// drainList is the newest list of draining hosts and endpoints that a process
// has.
type drainList struct {
	known bool
	sent  time.Duration // when the read was sent that returned it
	names []string      // sorted; replaced as a whole, never modified
}

// Drained reports whether a host or an endpoint is draining, as far as this
// process knows. A process learns of a drain within about two seconds. While
// neither the platform nor a peer replies, it keeps the last list.
func (f *Follower) Drained(name string) bool {
	f.mu.Lock()
	names := f.drains.names
	f.mu.Unlock()
	_, found := slices.BinarySearch(names, name)
	return found
}

// readDrains reads the drains from the platform if that is due.
func (f *Follower) readDrains(ctx context.Context) {
	sent := f.timers.Boot()
	f.mu.Lock()
	due := !f.drains.known || sent-f.drains.sent >= drainInterval
	f.mu.Unlock()
	if !due {
		return
	}
	f.counts.reads.Inc(1)
	rows, err := f.platform.Scan(ctx, TableDrain, "")
	if err != nil {
		return
	}
	names := make([]string, 0, len(rows))
	for _, row := range rows {
		names = append(names, row.Key)
	}
	slices.Sort(names)
	f.learnDrains(sent, names)
}

// learnDrains replaces the list if the new one was read later.
func (f *Follower) learnDrains(sent time.Duration, names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.drains.known && sent <= f.drains.sent {
		return
	}
	f.drains = drainList{known: true, sent: sent, names: names}
}
