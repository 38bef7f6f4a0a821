package engine

import (
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

// Endpoint is one executor or worker. All methods may be called concurrently.
// They fail with the errors of package point; a *point.LostError stands for a
// call that gets no answer.
type Endpoint struct {
	name     string
	kind     point.Kind
	fence    point.Fence
	zone     string
	rack     string
	capacity wire.Needs
	lag      time.Duration
	strict   bool
	timer    *timer.Service
	log      *Log

	mu       sync.Mutex // guards the fields below
	faults   Faults
	owner    point.Owner
	released bool
	term     time.Duration // end of the owner's term
	seq      uint64
	tasks    map[taskKey]*task
	seen     seen
	last     *Result       // of the last Run
	changed  chan struct{} // closed and replaced when something happens
}

// New returns an endpoint without an owner and without tasks.
func New(name string, opts ...Option) *Endpoint {
	e := &Endpoint{
		name: name, kind: point.Worker, fence: point.FenceEpoch, strict: true,
		log: new(Log), tasks: make(map[taskKey]*task), changed: make(chan struct{}),
		seen: seen{byKey: make(map[taskKey]*task)},
	}
	for _, opt := range opts {
		opt(e)
	}
	if e.timer == nil {
		e.timer = timer.New()
	}
	e.record(Event{Event: Up, Capacity: e.capacity})
	return e
}

// Name returns the endpoint's name.
func (e *Endpoint) Name() string { return e.name }

// Kind returns what the endpoint is.
func (e *Endpoint) Kind() point.Kind { return e.kind }

// Capacity returns what the endpoint has.
func (e *Endpoint) Capacity() wire.Needs { return e.capacity }

// Log returns the endpoint's log.
func (e *Endpoint) Log() *Log { return e.log }

// Running returns how many tasks run.
func (e *Endpoint) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, t := range e.tasks {
		if !t.state.Ended() {
			n++
		}
	}
	return n
}

// record adds ev to the log, with the time and the endpoint's name.
func (e *Endpoint) record(ev Event) {
	if ev.Time.IsZero() {
		ev.Time = e.timer.Now()
	}
	ev.Endpoint, ev.Zone, ev.Rack = e.name, e.zone, e.rack
	e.log.add(ev)
}

// recordTask adds an event of a task.
func (e *Endpoint) recordTask(kind Kind, in *point.Start, body Body, ev Event) {
	ev.Event = kind
	ev.Task, ev.Attempt, ev.Team, ev.Queue, ev.Kind = in.ID, in.Attempt, in.Team, in.Queue, in.Kind
	ev.Holder, ev.Epoch, ev.Needs = in.Holder, in.Epoch, in.Needs
	ev.Once, ev.Tag = body.Once, body.Tag
	e.record(ev)
}

// nextLocked returns the number of a new event and wakes those who wait.
func (e *Endpoint) nextLocked() uint64 {
	e.seq++
	e.wakeLocked()
	return e.seq
}

func (e *Endpoint) wakeLocked() {
	close(e.changed)
	e.changed = make(chan struct{})
}
