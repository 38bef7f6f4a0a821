package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/balsamford/balsamford/platform/fake"
)

// entry is what clients know of a job.
type entry struct {
	job       *fake.Job
	path      string
	fails     bool
	accepted  bool
	at        time.Time // when it was accepted
	asked     bool      // its cancellation was asked for
	cancelled bool      // and acknowledged
	final     string    // state that was shown and can't change
}

// tasks returns how many tasks the job has.
func (e *entry) tasks() int {
	n := 0
	for _, s := range e.job.Steps {
		n += s.Count
	}
	return n
}

// ledger is what clients were told. It may be used concurrently.
type ledger struct {
	mu      sync.Mutex // guards the fields below
	entries map[string]*entry
	broken  []string
	events  []string // faults that were made
	began   time.Time
	newest  map[string]int // configuration shown by each life of a host
}

func newLedger() *ledger {
	return &ledger{entries: make(map[string]*entry), newest: make(map[string]int), began: time.Now()}
}

func (l *ledger) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.broken = append(l.broken, fmt.Sprintf("%.3f s: ", time.Since(l.began).Seconds())+fmt.Sprintf(format, args...))
}

// event notes a fault that is made.
func (l *ledger) event(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, fmt.Sprintf("%.3f s: ", time.Since(l.began).Seconds())+fmt.Sprintf(format, args...))
}

func (l *ledger) add(e *entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[e.job.ID] = e
}

func (l *ledger) accept(e *entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.accepted, e.at = true, time.Now()
}

// asked notes that a cancellation is asked for.
func (l *ledger) asked(e *entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.asked = true
}

func (l *ledger) cancel(e *entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e.cancelled = true
}

// shown takes a state that a client was told.
func (l *ledger) shown(e *entry, state string) {
	l.mu.Lock()
	old := e.final
	if state == "done" || state == "failed" || state == "cancelled" {
		e.final = state
	}
	l.mu.Unlock()
	if old == "cancelled" && e.asked {
		return // It may have ended by itself before the cancellation reached its owner.
	}
	if old != "" && old != state {
		l.fault("job %s is shown as %s after %s", e.job.ID, state, old)
	}
}

// config takes the version that a host's configuration has.
func (l *ledger) config(host string, life, version int) {
	l.mu.Lock()
	name := fmt.Sprintf("%s life %d", host, life)
	old := l.newest[name]
	l.newest[name] = max(old, version)
	l.mu.Unlock()
	if version < old {
		l.fault("%s goes back from configuration %d to %d", name, old, version)
	}
}

// accepted returns the accepted jobs.
func (l *ledger) accepted() []*entry {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*entry
	for _, e := range l.entries {
		if e.accepted {
			out = append(out, e)
		}
	}
	return out
}
