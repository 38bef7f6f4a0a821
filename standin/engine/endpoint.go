package engine

import (
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

// Endpoint is one executor or worker. All methods may be called concurrently.
// They return the errors of package point; a *point.LostError represents a
// call without a response.
type Endpoint struct {
	name     string
	kind     point.Kind
	fence    point.Fence
	zone     string
	rack     string
	capacity wire.Needs
	usageLag time.Duration
	strict   bool
	timer    *timer.Service
	log      *Log

	mu         sync.Mutex // guards the fields below
	faults     Faults
	owner      point.Owner
	released   bool              // the owner has released the endpoint
	termEnd    time.Duration     // of the owner's term, in boot time
	seq        uint64            // of the latest change of a task
	tasks      map[taskKey]*task // running, or ended and not yet acknowledged
	attempts   attempts
	lastResult *Result       // of the latest Run, repeated by Faults.Double
	changed    chan struct{} // closed and replaced on every change of a task or a fault switch
}

// New returns an endpoint without an owner and without tasks. Unless options
// say otherwise it is a worker without capacity that refuses starts beyond it.
func New(name string, opts ...Option) *Endpoint {
	e := &Endpoint{
		name: name, kind: point.Worker, fence: point.FenceEpoch, strict: true,
		log: new(Log), tasks: make(map[taskKey]*task), changed: make(chan struct{}),
		attempts: attempts{byKey: make(map[taskKey]*task)},
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

// Kind returns whether the endpoint is an executor or a worker.
func (e *Endpoint) Kind() point.Kind { return e.kind }

// Capacity returns the endpoint's total resources.
func (e *Endpoint) Capacity() wire.Needs { return e.capacity }

// Log returns the endpoint's event log, which other endpoints may share.
func (e *Endpoint) Log() *Log { return e.log }

// Running returns the number of running tasks.
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

// record adds ev to the log, with the endpoint's name, zone and rack, and the
// current time unless ev has one.
func (e *Endpoint) record(ev Event) {
	if ev.Time.IsZero() {
		ev.Time = e.timer.Now()
	}
	ev.Endpoint, ev.Zone, ev.Rack = e.name, e.zone, e.rack
	e.log.add(ev)
}

// recordTask adds ev to the log, with its kind and the fields of the task.
func (e *Endpoint) recordTask(kind Kind, in *point.Start, body Body, ev Event) {
	ev.Event = kind
	ev.Task, ev.Attempt, ev.Team, ev.Queue, ev.Kind = in.ID, in.Attempt, in.Team, in.Queue, in.Kind
	ev.Holder, ev.Epoch, ev.Needs = in.Holder, in.Epoch, in.Needs
	ev.Once, ev.Tag = body.Once, body.Tag
	e.record(ev)
}

// nextSeqLocked returns the sequence number of a new change and wakes waiting
// calls.
func (e *Endpoint) nextSeqLocked() uint64 {
	e.seq++
	e.notifyLocked()
	return e.seq
}

// notifyLocked wakes all calls that wait for a change.
func (e *Endpoint) notifyLocked() {
	close(e.changed)
	e.changed = make(chan struct{})
}
