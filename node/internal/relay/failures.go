package relay

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// failureLogInterval is the least time between two log lines about forwarded calls that
// failed through one host. During an outage of the store every call of every host fails.
const failureLogInterval = time.Second

// failureLog logs failures of forwarded calls: the first through a host at once, later ones
// within failureLogInterval by their number. It may be used concurrently.
type failureLog struct {
	logger *zap.Logger

	mu      sync.Mutex // guards entries
	entries map[string]*failureEntry
}

// failureEntry counts the failures through one host.
type failureEntry struct {
	loggedAt time.Time
	omitted  int // since loggedAt
}

// note logs a failure through host at now, or counts it.
func (l *failureLog) note(host string, now time.Time, fields ...zap.Field) {
	l.mu.Lock()
	e := l.entries[host]
	if e == nil {
		e = &failureEntry{}
		l.entries[host] = e
	}
	due := now.Sub(e.loggedAt) >= failureLogInterval
	omitted := e.omitted
	if due {
		e.loggedAt, e.omitted = now, 0
	} else {
		e.omitted++
	}
	l.mu.Unlock()
	if due {
		l.logger.Info("forwarded call failed", append(fields, zap.String("through", host), zap.Int("omitted", omitted))...)
	}
}
