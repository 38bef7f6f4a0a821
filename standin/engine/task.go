package engine

import (
	"strings"
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

// outputLimit bounds the output of a worker's task in its report, in bytes.
const outputLimit = 64 << 10

// taskKey names one attempt of a task.
type taskKey struct {
	id      string
	attempt uint32
}

// task is one task of an Endpoint, whose lock guards it.
type task struct {
	start     point.Start
	body      Body
	state     point.State
	code      int
	output    []byte
	seq       uint64
	began     time.Duration
	until     time.Duration // end of its lease
	left      time.Duration // of its work, at since
	since     time.Duration
	throttled bool
	used      wire.Needs
	reported  wire.Needs
	finish    *timer.Timer
	lapse     *timer.Timer
	done      chan struct{} // closed at its end
}

func (t *task) key() taskKey { return taskKey{t.start.ID, t.start.Attempt} }

// answerName is the name that the task's answer depends on: that of the
// caller, if there is one, with the number of the task, or its id.
func (t *task) answerName() string {
	if t.body.Tag == "" {
		return t.start.ID
	}
	number := t.start.ID[strings.LastIndexByte(t.start.ID, '/')+1:]
	return t.body.Tag + "/" + number
}

// message returns what is told of the task.
func (t *task) message(now time.Duration) point.Task {
	s := &t.start
	return point.Task{
		ID: s.ID, Attempt: s.Attempt, Epoch: s.Epoch, Team: s.Team, Queue: s.Queue, Kind: s.Kind, Name: s.Name,
		Needs: s.Needs, Reported: t.reported, State: t.state, Code: t.code, Output: t.output,
		Age: now - t.began, Seq: t.seq,
	}
}

// disarm stops the timers of the task.
func (t *task) disarm() {
	for _, w := range []*timer.Timer{t.finish, t.lapse} {
		if w != nil {
			w.Stop()
		}
	}
}
