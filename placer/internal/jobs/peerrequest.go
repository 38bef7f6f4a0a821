package jobs

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
)

// peerRequest is a request from one placer to another. It is either an event of an
// endpoint, which the endpoint's owner sends to the placers that may drive its
// tasks, or a driver's request. Its kind is given by the one field that is set
// besides Endpoint, Epoch and Tasks.
type peerRequest struct {
	Endpoint string            `cbor:"endpoint,omitempty"`
	Epoch    uint64            `cbor:"epoch,omitempty"`  // of the endpoint's owner; with Opened and Lapsed
	Opened   bool              `cbor:"opened,omitempty"` // the endpoint has a new owner, which found Tasks there
	Lapsed   bool              `cbor:"lapsed,omitempty"` // no task runs there that was started under Epoch or an earlier one
	Tasks    []point.Task      `cbor:"tasks,omitempty"`  // if no kind is set, ended tasks to be recorded
	Stop     *stopRequest      `cbor:"halt,omitempty"`
	Fit      *fitRequest       `cbor:"fit,omitempty"`
	Promise  time.Duration     `cbor:"promise,omitempty"` // asks for a promise not to take the endpoint's term for that long
	Held     bool              `cbor:"held,omitempty"`    // asks whether the receiver may have kept the endpoint's leases alive within the last Owner.MaxLeaseTime
	Owned    bool              `cbor:"owned,omitempty"`   // asks which endpoints the receiver owns
	Drives   []string          `cbor:"drives,omitempty"`  // ids of jobs whose rows name the receiver as driver
	Lock     *lockRequest      `cbor:"turn,omitempty"`
	Reserve  *reserveRequest   `cbor:"book,omitempty"`
	Offloads []*reserveRequest `cbor:"loans,omitempty"` // tasks to be queued at the receiver
	Launch   *launchRequest    `cbor:"launch,omitempty"`
}

// Note serves wire.VerbNote, which carries a peerRequest.
func (d *Driver) Note(ctx context.Context, s *link.Stream) error {
	var in peerRequest
	if err := s.Recv(&in); err != nil {
		return err
	}
	out := d.handlePeer(ctx, &in)
	return s.Send(&out)
}

// handlePeer carries out a request of another placer or of this one.
func (d *Driver) handlePeer(ctx context.Context, in *peerRequest) peerReply {
	switch {
	case in.Stop != nil:
		return peerReply{Done: d.stopLocal(ctx, *in.Stop)}
	case in.Fit != nil:
		capacity := d.queue.Room(in.Fit.Needs, in.Fit.Tasks)
		return peerReply{Done: capacity >= in.Fit.Tasks, Count: capacity}
	case in.Lock != nil:
		return peerReply{Done: d.gangLock.acquire(in.Lock)}
	case in.Reserve != nil:
		if j := d.find(in.Reserve.ID); j != nil && j.epoch() != in.Reserve.Epoch {
			return peerReply{Rejected: true}
		}
		return d.reservations.reserve(in.Reserve)
	case len(in.Offloads) > 0:
		return d.servePoll(ctx, in.Offloads)
	case in.Launch != nil:
		return d.handleLaunch(ctx, in.Launch)
	case in.Owned:
		return peerReply{Endpoints: d.owner.Owned()}
	case len(in.Drives) > 0:
		d.checkNamed(in.Drives)
	case in.Promise > 0:
		return peerReply{Done: d.promise(in.Endpoint, in.Promise)}
	case in.Held:
		return peerReply{Done: d.owner.Held(in.Endpoint)}
	case in.Lapsed:
		d.handleLapsed(in.Endpoint, in.Epoch)
	case in.Opened:
		d.owner.Superseded(in.Endpoint, in.Epoch)
		d.handleOpened(in.Endpoint, in.Epoch, in.Tasks)
	default:
		return peerReply{Recorded: d.recordEnds(ctx, in)}
	}
	return peerReply{}
}

// checkNamed starts a scan unless this placer drives all jobs with the given ids,
// whose rows name it. A row can name a placer that doesn't drive the job if the
// write that took the job over had no answer and took effect late, or if an
// earlier process of the same name wrote it.
func (d *Driver) checkNamed(ids []string) {
	for _, id := range ids {
		if d.find(id) == nil {
			d.needScan.Store(true)
			return
		}
	}
}

// recordEnds records the ended tasks of jobs that are driven here. It returns for
// each task whether its end is written.
func (d *Driver) recordEnds(ctx context.Context, in *peerRequest) []bool {
	out := make([]bool, len(in.Tasks))
	jobs := make([]*job, len(in.Tasks))
	for i := range in.Tasks {
		jobs[i] = d.recordEnd(in.Endpoint, &in.Tasks[i])
	}
	for i, j := range jobs {
		out[i] = j != nil && d.flush(ctx, j) == nil
	}
	return out
}

// recordEnd records the end of a task and returns its job. It returns nil if the
// task hasn't ended or its job is not driven here.
func (d *Driver) recordEnd(endpoint string, t *point.Task, acks ...ack) *job {
	e, id, ok := endingOf(endpoint, t)
	if !ok {
		return nil
	}
	j := d.find(id)
	if j != nil {
		d.handleEnd(j, e, acks...)
	}
	return j
}

// handleLapsed ends the running tasks at an endpoint that were started under the
// given epoch or an earlier one. A start without an answer may still arrive there,
// so it stays in doubt until the endpoint is opened under a new epoch.
func (d *Driver) handleLapsed(endpoint string, epoch uint64) {
	for _, j := range d.allJobs() {
		for _, e := range j.tasksAt(endpoint) {
			if e.phase == wire.Running && e.epoch <= epoch {
				d.handleEnd(j, e.ending)
			}
		}
	}
}

// handleOpened reconciles the tasks that should be at an endpoint with those that
// its new owner found there. The endpoint refuses starts of earlier epochs. Ended
// tasks are skipped: tasks has no outputs, and the owner sends the ends with
// outputs separately.
func (d *Driver) handleOpened(endpoint string, epoch uint64, tasks []point.Task) {
	for _, j := range d.allJobs() {
		for _, e := range j.tasksAt(endpoint) {
			t := findTask(tasks, j.id(), e.task, e.attempt)
			if e.epoch < epoch && (t == nil || !t.State.Ended()) {
				d.reconcile(j, e, tasks)
			}
		}
	}
}

// reconcile updates one task to what its endpoint reports. A task that isn't there
// has ended.
func (d *Driver) reconcile(j *job, e placed, tasks []point.Task) {
	t := findTask(tasks, j.id(), e.task, e.attempt)
	switch {
	case t == nil:
		d.handleEnd(j, e.ending)
	case !t.State.Ended():
		j.mu.Lock()
		if j.tasks[e.task].live && j.row.Tasks[e.task].Attempt == e.attempt {
			j.tasks[e.task].inDoubt = false
			j.setRunningLocked(e.task)
		}
		j.mu.Unlock()
		d.queueWrite(j)
	default:
		d.recordEnd(e.endpoint, t)
	}
}
