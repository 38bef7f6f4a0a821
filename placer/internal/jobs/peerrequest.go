package jobs

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
)

// note is what the owner of an endpoint tells the placers that may drive the
// jobs of its tasks, or what a driver asks of them.
type peerRequest struct {
	Endpoint string            `cbor:"endpoint,omitempty"`
	Epoch    uint64            `cbor:"epoch,omitempty"`  // with Opened and Lapsed
	Opened   bool              `cbor:"opened,omitempty"` // Tasks is all that the endpoint has
	Lapsed   bool              `cbor:"lapsed,omitempty"` // nothing started up to Epoch runs there any more
	Tasks    []point.Task      `cbor:"tasks,omitempty"`  // without Opened: ended ones
	Stop     *stopRequest      `cbor:"halt,omitempty"`
	Fit      *fitRequest       `cbor:"fit,omitempty"`
	Promise  time.Duration     `cbor:"promise,omitempty"` // asks not to take the endpoint's term for that long
	Held     bool              `cbor:"held,omitempty"`    // asks whether the other may keep the endpoint's leases alive
	Owned    bool              `cbor:"owned,omitempty"`   // asks which endpoints the other owns
	Drives   []string          `cbor:"drives,omitempty"`  // ids of jobs whose rows name the other
	Lock     *lockRequest      `cbor:"turn,omitempty"`
	Reserve  *reserveRequest   `cbor:"book,omitempty"`
	Offloads []*reserveRequest `cbor:"loans,omitempty"` // tasks that are to wait at the other
	Launch   *launchRequest    `cbor:"launch,omitempty"`
}

// noted answers a note.
type peerReply struct {
	Recorded  []bool        `cbor:"known,omitempty"` // of Tasks: driven here, and the end is written
	Done      bool          `cbor:"done,omitempty"`  // Halt was carried out, Promise given, or Fit, Held or Turn holds
	Endpoints []string      `cbor:"names,omitempty"` // answers Owned
	Count     int           `cbor:"room,omitempty"`  // with Fit, how many of the tasks fit together; with Loans, how many requests wait
	Offloads  []peerReply   `cbor:"loans,omitempty"` // answers Loans, with Kept or Void
	Grants    []grant       `cbor:"kept,omitempty"`  // answers Book, once all of it has room
	Results   []startResult `cbor:"fates,omitempty"` // answers Launch
	Rejected  bool          `cbor:"void,omitempty"`  // Book can't be carried out, or there is none to Launch
}

// halt asks for the end of one attempt of a task.
type stopRequest struct {
	ID       string         `cbor:"id"`
	Task     int            `cbor:"task"`
	Attempt  uint32         `cbor:"attempt"`
	Endpoint string         `cbor:"endpoint"`
	Mode     point.StopMode `cbor:"mode"`
}

// fit asks whether a placer's endpoints could run tasks.
type fitRequest struct {
	Needs wire.Needs `cbor:"needs"`
	Tasks int        `cbor:"tasks"`
}

// Note serves wire.VerbNote.
func (d *Driver) Note(ctx context.Context, s *link.Stream) error {
	var in peerRequest
	if err := s.Recv(&in); err != nil {
		return err
	}
	out := d.handlePeer(ctx, &in)
	return s.Send(&out)
}

func (d *Driver) handlePeer(ctx context.Context, in *peerRequest) peerReply {
	switch {
	case in.Stop != nil:
		return peerReply{Done: d.stopLocal(ctx, *in.Stop)}
	case in.Fit != nil:
		room := d.queue.Room(in.Fit.Needs, in.Fit.Tasks)
		return peerReply{Done: room >= in.Fit.Tasks, Count: room}
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

// named looks for jobs whose rows name this placer unless it drives them all.
// A row can name it unknown to it: the write that took the job had no answer
// and took effect late, or it was that of an earlier process of the same name.
func (d *Driver) checkNamed(ids []string) {
	for _, id := range ids {
		if d.find(id) == nil {
			d.needScan.Store(true)
			return
		}
	}
}

// known records ended tasks of jobs that are driven here.
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

// endedAt records the end of a task and returns its job, or nil if it is
// driven elsewhere.
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

// lapsed ends what ran at an endpoint and was started under that epoch or an
// earlier one. A start that got no answer may still
// arrive there, so it stays in doubt until the endpoint is opened again.
func (d *Driver) handleLapsed(endpoint string, epoch uint64) {
	for _, j := range d.allJobs() {
		for _, e := range j.tasksAt(endpoint) {
			if e.phase == wire.Running && e.epoch <= epoch {
				d.handleEnd(j, e.ending)
			}
		}
	}
}

// opened compares what an endpoint has under a new epoch with what should be
// there. Starts of earlier epochs can't arrive any more. Tasks that have ended
// are left to the owner's notice, which brings their outputs.
func (d *Driver) handleOpened(endpoint string, epoch uint64, tasks []point.Task) {
	for _, j := range d.allJobs() {
		for _, e := range j.tasksAt(endpoint) {
			t := findTask(tasks, j.id(), e.n, e.attempt)
			if e.epoch < epoch && (t == nil || !t.State.Ended()) {
				d.reconcile(j, e, tasks)
			}
		}
	}
}

// compare settles one task with what its endpoint has.
func (d *Driver) reconcile(j *job, e placed, tasks []point.Task) {
	t := findTask(tasks, j.id(), e.n, e.attempt)
	switch {
	case t == nil:
		d.handleEnd(j, e.ending)
	case !t.State.Ended():
		j.mu.Lock()
		if j.tasks[e.n].live && j.row.Tasks[e.n].Attempt == e.attempt {
			j.tasks[e.n].inDoubt = false
			j.setRunningLocked(e.n)
		}
		j.mu.Unlock()
		d.queueWrite(j)
	default:
		d.recordEnd(e.endpoint, t)
	}
}
