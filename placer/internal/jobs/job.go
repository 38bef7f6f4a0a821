package jobs

import (
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/desk"
)

// job is one job that this placer drives.
type job struct {
	key      string // of its row
	deadline time.Time

	mu              sync.Mutex // guards the fields below
	row             wire.Job
	version         uint64 // of the row as last written or read
	revision        uint64 // changes made here
	writtenRevision uint64 // changes that the platform has
	replaced        bool   // another placer drives it, or it was handed over
	handingOver     bool   // being handed over: nothing is started any more
	tasks           []task
	gangRestart     bool  // a gang that ends as a whole, to be started again
	reserving       bool  // a gang for which room is being booked at several placers
	noFitRounds     int   // rounds in which no placer had endpoints for it
	acks            []ack // ended tasks to acknowledge once written
	changed         chan struct{}
}

// task is what is known of one task besides its row.
type task struct {
	order          desk.Order    // of the present attempt, if this process started it
	live           bool          // may run somewhere: sent or running and not known to have ended
	inDoubt        bool          // nobody knows yet whether it runs
	failures       int           // attempts in a row that failed
	avoid          []string      // endpoints that failed it
	queued         bool          // with the scheduler
	queuedSince    time.Duration // when it was queued, on the clock that goes on during a suspension
	launching      bool          // the owner of its endpoint is being asked to start it
	remote         string        // the placer where it waits in place of home
	localOnly      bool          // waits at home the next time, since it couldn't elsewhere
	blockedAttempt uint32        // attempt that will not begin any more if it hasn't
}

// ack is an ended task that its endpoint may forget.
type ack struct {
	endpoint string
	seq      uint64
}

func newJob(key string, row *wire.Job, version uint64) *job {
	n := max(row.Request.Tasks, 1)
	for len(row.Tasks) < n {
		row.Tasks = append(row.Tasks, wire.JobTask{Phase: wire.Queued})
	}
	j := &job{key: key, row: *row, version: version, tasks: make([]task, n), changed: make(chan struct{})}
	for i := range j.tasks {
		t := &row.Tasks[i]
		if t.Outcome == "" && (t.Phase == wire.Sent || t.Phase == wire.Running) {
			j.tasks[i].live, j.tasks[i].inDoubt = true, true
		}
	}
	return j
}

func (j *job) id() string { return j.row.Request.ID }

func (j *job) epoch() uint64 {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.row.Epoch
}

// gathering reports whether room for a gang is being booked.
func (j *job) isReserving() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.reserving
}

// editLocked notes a change and wakes those who wait for one.
func (j *job) changeLocked() {
	j.revision++
	j.notifyLocked()
}

func (j *job) notifyLocked() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// activeLocked reports whether tasks may still be started.
func (j *job) activeLocked() bool {
	return !j.replaced && !j.handingOver && !j.row.Cancel && j.row.Outcome == ""
}

// liveLocked returns how many tasks may run.
func (j *job) liveLocked() int {
	n := 0
	for i := range j.tasks {
		if j.tasks[i].live {
			n++
		}
	}
	return n
}

// snapshot returns a copy of the row.
func (j *job) snapshot() wire.Job {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.copyLocked()
}

func (j *job) copyLocked() wire.Job {
	row := j.row
	row.Tasks = append([]wire.JobTask(nil), j.row.Tasks...)
	return row
}

// watch returns the row and a channel that is closed at the next change.
func (j *job) watch() (row wire.Job, replaced bool, changed <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.copyLocked(), j.replaced, j.changed
}
