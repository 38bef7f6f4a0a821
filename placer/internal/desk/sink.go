package desk

import (
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/placer/internal/hold"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// Opened implements hold.Sink: the endpoint is adopted with what runs there.
func (d *Desk) Opened(t hold.Target, view *point.View) {
	for i := range view.Tasks {
		d.settle(t, &view.Tasks[i])
	}
	d.adopt(t, view)
	d.jobs.Opened(t, view)
	for i := range view.Tasks {
		d.tell(t, &view.Tasks[i])
	}
	d.Kick()
}

func (d *Desk) adopt(t hold.Target, view *point.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetLocked(t.Name, d.self)
	e := sched.Endpoint{
		Name: t.Name, Kind: view.Kind, Zone: view.Zone, Rack: view.Rack, Capacity: view.Capacity, Leaving: t.Leaving,
	}
	d.epochs[t.Name] = view.Owner.Epoch
	d.known[t.Name] = e
	d.sched.Join(e)
	for i := range view.Tasks {
		d.adoptTaskLocked(t.Name, &view.Tasks[i])
	}
	d.sched.Report(t.Name, view.Reported)
}

func (d *Desk) adoptTaskLocked(endpoint string, task *point.Task) {
	k, ok := keyOf(task)
	if !ok || task.State.Ended() {
		return
	}
	d.placed[k] = spot{endpoint, task.Attempt}
	d.sched.Adopt(endpoint, sched.Task{
		ID: k.id, Number: k.task, Attempt: task.Attempt, Team: task.Team, Queue: task.Queue,
		Kind: task.Kind, Name: task.Name, Needs: task.Needs, Age: task.Age,
	})
}

func (d *Desk) forgetLocked(endpoint, heir string) {
	d.sched.DropTo(endpoint, heir)
	delete(d.epochs, endpoint)
	delete(d.known, endpoint)
	d.lost = true
	for k, at := range d.placed {
		if at.endpoint == endpoint {
			delete(d.placed, k)
		}
	}
}

// Reported implements hold.Sink.
func (d *Desk) Reported(t hold.Target, report *point.Report) {
	d.sched.Report(t.Name, report.Reported)
	if report.Leaving {
		d.Left(t)
	}
	for i := range report.Tasks {
		d.settle(t, &report.Tasks[i])
		d.tell(t, &report.Tasks[i])
	}
}

// settle gives the room of an ended task back.
func (d *Desk) settle(t hold.Target, task *point.Task) {
	if k, ok := keyOf(task); ok && task.State.Ended() {
		d.note(k, spot{t.Name, task.Attempt}, task.State)
		d.free(k, spot{t.Name, task.Attempt}, task.State == point.Done)
	}
}

// tell passes the end of a task on to whom it concerns. The end of a quick
// task is known by its answer, so the endpoint may forget it.
func (d *Desk) tell(t hold.Target, task *point.Task) {
	if !task.State.Ended() {
		return
	}
	if quick(task.Kind) {
		d.acks.Ack(t.Name, task.Seq)
		return
	}
	d.jobs.Ended(t, task)
}

// Paused implements hold.Sink.
func (d *Desk) Paused(t hold.Target) { d.sched.Leave(t.Name) }

// Resumed implements hold.Sink.
func (d *Desk) Resumed(t hold.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.known[t.Name]
	if !ok {
		return
	}
	e.Leaving = t.Leaving
	d.known[t.Name] = e
	d.sched.Join(e)
	d.Kick()
}

// Left implements hold.Sink.
func (d *Desk) Left(t hold.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.known[t.Name]; ok {
		e.Leaving = true
		d.known[t.Name] = e
		d.lost = true
	}
	d.sched.Leave(t.Name)
}

// Lapsed implements hold.Sink: every task there has ended.
func (d *Desk) Lapsed(t hold.Target, epoch uint64) {
	for k, at := range d.at(t.Name) {
		d.note(k, at, point.Lapsed)
		d.free(k, at, false)
	}
	d.jobs.Lapsed(t, epoch)
}

func (d *Desk) at(endpoint string) map[key]spot {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[key]spot)
	for k, at := range d.placed {
		if at.endpoint == endpoint {
			out[k] = at
		}
	}
	return out
}

// Closed implements hold.Sink.
func (d *Desk) Closed(t hold.Target) {
	heir := d.heir(t)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetLocked(t.Name, heir)
}
