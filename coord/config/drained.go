package config

import (
	"context"
	"slices"
	"time"
)

// drainInterval is the time between two readings of the drains.
const drainInterval = time.Second

// drainList is the newest list of drains that a process knows.
type drainList struct {
	known bool
	sent  time.Duration // when the read was sent that returned it
	names []string      // sorted; never changed in place
}

// Drained reports whether a host or an endpoint is under a drain, as far as
// this process knows. It learns of a drain within about two seconds, and keeps
// to what it knows while neither the platform nor a peer answers.
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

// learnDrains takes a list that is newer than the one known.
func (f *Follower) learnDrains(sent time.Duration, names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.drains.known && sent <= f.drains.sent {
		return
	}
	f.drains = drainList{known: true, sent: sent, names: names}
}
