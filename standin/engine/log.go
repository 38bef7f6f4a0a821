package engine

import (
	"encoding/json"
	"io"
	"sync"
)

// Log stores the events of one or more endpoints in the order in which they
// were recorded. The zero value is an empty Log; all methods may be called
// concurrently.
type Log struct {
	mu     sync.Mutex // guards events
	events []Event
}

func (l *Log) add(e Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, e)
}

// Events returns a copy of all events so far.
func (l *Log) Events() []Event {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Event(nil), l.events...)
}

// WriteTo writes one JSON line for each event.
func (l *Log) WriteTo(w io.Writer) (int64, error) {
	c := &countWriter{w: w}
	enc := json.NewEncoder(c)
	for _, e := range l.Events() {
		if err := enc.Encode(e); err != nil {
			return c.n, err
		}
	}
	return c.n, nil
}

// countWriter counts the bytes written to w.
type countWriter struct {
	w io.Writer
	n int64
}

// Write implements io.Writer.
func (c *countWriter) Write(p []byte) (int, error) {
	n, err := c.w.Write(p)
	c.n += int64(n)
	return n, err
}
