package engine

import (
	"strings"
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

// maxOutputBytes is the largest output of a worker's task; longer ones are
// truncated to it.
const maxOutputBytes = 64 << 10

// taskKey identifies one attempt of a task.
type taskKey struct {
	id      string
	attempt uint32
}

// task is one attempt of a task. The lock of its Endpoint guards it. Times are
// boot times.
type task struct {
	start       point.Start
	body        Body
	state       point.State
	code        int
	output      []byte
	seq         uint64
	startedAt   time.Duration
	leaseEnd    time.Duration // expiry of the lease
	remaining   time.Duration // work at resumedAt, when not throttled
	resumedAt   time.Duration
	throttled   bool
	used        wire.Needs
	reported    wire.Needs
	finishTimer *timer.Timer
	leaseTimer  *timer.Timer
	done        chan struct{} // closed when the task ends
}

func (t *task) key() taskKey { return taskKey{t.start.ID, t.start.Attempt} }

// answerID returns the id that the task's answer depends on: the caller's tag
// and the number of the task, or the task's id if there is no tag.
func (t *task) answerID() string {
	if t.body.Tag == "" {
		return t.start.ID
	}
	number := t.start.ID[strings.LastIndexByte(t.start.ID, '/')+1:]
	return t.body.Tag + "/" + number
}

// report returns the task as views and reports list it.
func (t *task) report(now time.Duration) point.Task {
	s := &t.start
	return point.Task{
		ID: s.ID, Attempt: s.Attempt, Epoch: s.Epoch, Team: s.Team, Queue: s.Queue, Kind: s.Kind, Name: s.Name,
		Needs: s.Needs, Reported: t.reported, State: t.state, Code: t.code, Output: t.output,
		Age: now - t.startedAt, Seq: t.seq,
	}
}

// stopTimers stops the timers of the task.
func (t *task) stopTimers() {
	for _, w := range []*timer.Timer{t.finishTimer, t.leaseTimer} {
		if w != nil {
			w.Stop()
		}
	}
}
