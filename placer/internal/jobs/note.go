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
type note struct {
	Endpoint string        `cbor:"endpoint,omitempty"`
	Epoch    uint64        `cbor:"epoch,omitempty"`  // with Opened and Lapsed
	Opened   bool          `cbor:"opened,omitempty"` // Tasks is all that the endpoint has
	Lapsed   bool          `cbor:"lapsed,omitempty"` // nothing started up to Epoch runs there any more
	Tasks    []point.Task  `cbor:"tasks,omitempty"`  // without Opened: ended ones
	Halt     *halt         `cbor:"halt,omitempty"`
	Fit      *fit          `cbor:"fit,omitempty"`
	Promise  time.Duration `cbor:"promise,omitempty"` // asks not to take the endpoint's term for that long
	Held     bool          `cbor:"held,omitempty"`    // asks whether the other may keep the endpoint's leases alive
	Owned    bool          `cbor:"owned,omitempty"`   // asks which endpoints the other owns
	Drives   []string      `cbor:"drives,omitempty"`  // ids of jobs whose rows name the other
	Turn     *ask          `cbor:"turn,omitempty"`
	Book     *book         `cbor:"book,omitempty"`
	Loans    []*book       `cbor:"loans,omitempty"` // tasks that are to wait at the other
	Launch   *launch       `cbor:"launch,omitempty"`
}

// noted answers a note.
type noted struct {
	Known []bool   `cbor:"known,omitempty"` // of Tasks: driven here, and the end is written
	Done  bool     `cbor:"done,omitempty"`  // Halt was carried out, Promise given, or Fit, Held or Turn holds
	Names []string `cbor:"names,omitempty"` // answers Owned
	Room  int      `cbor:"room,omitempty"`  // with Fit, how many of the tasks fit together; with Loans, how many requests wait
	Loans []noted  `cbor:"loans,omitempty"` // answers Loans, with Kept or Void
	Kept  []booked `cbor:"kept,omitempty"`  // answers Book, once all of it has room
	Fates []fate   `cbor:"fates,omitempty"` // answers Launch
	Void  bool     `cbor:"void,omitempty"`  // Book can't be carried out, or there is none to Launch
}

// halt asks for the end of one attempt of a task.
type halt struct {
	ID       string         `cbor:"id"`
	Task     int            `cbor:"task"`
	Attempt  uint32         `cbor:"attempt"`
	Endpoint string         `cbor:"endpoint"`
	Mode     point.StopMode `cbor:"mode"`
}

// fit asks whether a placer's endpoints could run tasks.
type fit struct {
	Needs wire.Needs `cbor:"needs"`
	Tasks int        `cbor:"tasks"`
}

// Note serves wire.VerbNote.
func (d *Driver) Note(ctx context.Context, s *link.Stream) error {
	var in note
	if err := s.Recv(&in); err != nil {
		return err
	}
	out := d.noted(ctx, &in)
	return s.Send(&out)
}

func (d *Driver) noted(ctx context.Context, in *note) noted {
	switch {
	case in.Halt != nil:
		return noted{Done: d.haltHere(ctx, *in.Halt)}
	case in.Fit != nil:
		room := d.queue.Room(in.Fit.Needs, in.Fit.Tasks)
		return noted{Done: room >= in.Fit.Tasks, Room: room}
	case in.Turn != nil:
		return noted{Done: d.turns.ask(in.Turn)}
	case in.Book != nil:
		if j := d.find(in.Book.ID); j != nil && j.epoch() != in.Book.Epoch {
			return noted{Void: true}
		}
		return d.books.book(in.Book)
	case len(in.Loans) > 0:
		return d.lentHere(ctx, in.Loans)
	case in.Launch != nil:
		return d.launched(ctx, in.Launch)
	case in.Owned:
		return noted{Names: d.owner.Owned()}
	case len(in.Drives) > 0:
		d.named(in.Drives)
	case in.Promise > 0:
		return noted{Done: d.promise(in.Endpoint, in.Promise)}
	case in.Held:
		return noted{Done: d.owner.Held(in.Endpoint)}
	case in.Lapsed:
		d.lapsed(in.Endpoint, in.Epoch)
	case in.Opened:
		d.owner.Superseded(in.Endpoint, in.Epoch)
		d.opened(in.Endpoint, in.Epoch, in.Tasks)
	default:
		return noted{Known: d.known(ctx, in)}
	}
	return noted{}
}

// named looks for jobs whose rows name this placer unless it drives them all.
// A row can name it unknown to it: the write that took the job had no answer
// and took effect late, or it was that of an earlier process of the same name.
func (d *Driver) named(ids []string) {
	for _, id := range ids {
		if d.find(id) == nil {
			d.unsure.Store(true)
			return
		}
	}
}

// known records ended tasks of jobs that are driven here.
func (d *Driver) known(ctx context.Context, in *note) []bool {
	out := make([]bool, len(in.Tasks))
	jobs := make([]*job, len(in.Tasks))
	for i := range in.Tasks {
		jobs[i] = d.endedAt(in.Endpoint, &in.Tasks[i])
	}
	for i, j := range jobs {
		out[i] = j != nil && d.flush(ctx, j) == nil
	}
	return out
}

// endedAt records the end of a task and returns its job, or nil if it is
// driven elsewhere.
func (d *Driver) endedAt(endpoint string, t *point.Task, acks ...ack) *job {
	e, id, ok := endingOf(endpoint, t)
	if !ok {
		return nil
	}
	j := d.find(id)
	if j != nil {
		d.ended(j, e, acks...)
	}
	return j
}

// lapsed ends what ran at an endpoint and was started under that epoch or an
// earlier one. A start that got no answer may still
// arrive there, so it stays in doubt until the endpoint is opened again.
func (d *Driver) lapsed(endpoint string, epoch uint64) {
	for _, j := range d.all() {
		for _, e := range j.at(endpoint) {
			if e.phase == wire.Running && e.epoch <= epoch {
				d.ended(j, e.ending)
			}
		}
	}
}

// opened compares what an endpoint has under a new epoch with what should be
// there. Starts of earlier epochs can't arrive any more. Tasks that have ended
// are left to the owner's notice, which brings their outputs.
func (d *Driver) opened(endpoint string, epoch uint64, tasks []point.Task) {
	for _, j := range d.all() {
		for _, e := range j.at(endpoint) {
			t := findTask(tasks, j.id(), e.n, e.attempt)
			if e.epoch < epoch && (t == nil || !t.State.Ended()) {
				d.compare(j, e, tasks)
			}
		}
	}
}

// compare settles one task with what its endpoint has.
func (d *Driver) compare(j *job, e placed, tasks []point.Task) {
	t := findTask(tasks, j.id(), e.n, e.attempt)
	switch {
	case t == nil:
		d.ended(j, e.ending)
	case !t.State.Ended():
		j.mu.Lock()
		if j.tasks[e.n].live && j.row.Tasks[e.n].Attempt == e.attempt {
			j.tasks[e.n].doubt = false
			j.runLocked(e.n)
		}
		j.mu.Unlock()
		d.save(j)
	default:
		d.endedAt(e.endpoint, t)
	}
}
