package jobs

import (
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/queue"
)

// job is a job that this placer drives.
type job struct {
	key      string    // of its row
	deadline time.Time // the zero value stands for none

	mu              sync.Mutex // guards the fields below
	row             wire.Job
	version         uint64 // of the row as last written or read
	revision        uint64 // number of local changes
	writtenRevision uint64 // revision that was last written
	replaced        bool   // another placer drives the job, or it was handed over
	handingOver     bool   // no task is started while the job is handed over
	tasks           []task
	gangRestart     bool  // all tasks of the gang have to end and then start again
	reserving       bool  // the gang reserves capacity at several placers
	noFitRounds     int   // consecutive rounds in which no placer had endpoints that fit
	acks            []ack // ended tasks to acknowledge once the row is written
	changed         chan struct{}
}

// task is the state of one task that isn't in its row.
type task struct {
	order          queue.Order   // of the current attempt, if this process sent it
	live           bool          // the current attempt may run: it was sent and is not known to have ended
	inDoubt        bool          // it is unknown whether the current attempt runs
	failures       int           // failed attempts
	avoid          []string      // endpoints on which it failed
	queued         bool          // in the local scheduler's queue
	queuedSince    time.Duration // on the boot clock, which also runs while the machine is suspended
	launching      bool          // a launchRequest for it is under way
	remote         string        // placer in whose queue it waits, if not this one
	localOnly      bool          // not offloaded at the next submission, since its last offload ended without a start
	blockedAttempt uint32        // attempt that was stopped before it arrived, and so can no longer start
}

// ack identifies an ended task that its endpoint may forget.
type ack struct {
	endpoint string
	seq      uint64
}

// newJob returns the job of a row. Tasks that the row has as sent or running are
// in doubt, since another process may have started them.
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

// isReserving reports whether the gang reserves capacity at several placers.
func (j *job) isReserving() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.reserving
}

// changeLocked counts a change of the job and notifies its watchers.
func (j *job) changeLocked() {
	j.revision++
	j.notifyLocked()
}

// notifyLocked notifies the watchers of the job.
func (j *job) notifyLocked() {
	close(j.changed)
	j.changed = make(chan struct{})
}

// activeLocked reports whether tasks may still be started.
func (j *job) activeLocked() bool {
	return !j.replaced && !j.handingOver && !j.row.Cancel && j.row.Outcome == ""
}

// liveLocked returns the number of live tasks.
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

// watch returns a copy of the row, whether another placer drives the job, and a
// channel that is closed at the next change.
func (j *job) watch() (row wire.Job, replaced bool, changed <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.copyLocked(), j.replaced, j.changed
}
