package queue

import (
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/placer/internal/hold"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// Opened implements hold.Sink. It adds the endpoint and its running tasks to
// the scheduler.
func (d *Dispatcher) Opened(t hold.Target, view *point.View) {
	for i := range view.Tasks {
		d.releaseEnded(t, &view.Tasks[i])
	}
	d.adopt(t, view)
	d.jobs.Opened(t, view)
	for i := range view.Tasks {
		d.reportEnd(t, &view.Tasks[i])
	}
	d.Kick()
}

func (d *Dispatcher) adopt(t hold.Target, view *point.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetLocked(t.Name, d.self)
	e := sched.Endpoint{
		Name: t.Name, Kind: view.Kind, Zone: view.Zone, Rack: view.Rack, Capacity: view.Capacity, Leaving: t.Leaving,
	}
	d.epochs[t.Name] = view.Owner.Epoch
	d.endpoints[t.Name] = e
	d.sched.Join(e)
	for i := range view.Tasks {
		d.adoptTaskLocked(t.Name, &view.Tasks[i])
	}
	d.sched.Report(t.Name, view.Reported)
}

func (d *Dispatcher) adoptTaskLocked(endpoint string, task *point.Task) {
	k, ok := keyOf(task)
	if !ok || task.State.Ended() {
		return
	}
	d.placements[k] = placement{endpoint, task.Attempt}
	d.sched.Adopt(endpoint, sched.Task{
		ID: k.id, Number: k.task, Attempt: task.Attempt, Team: task.Team, Queue: task.Queue,
		Kind: task.Kind, Name: task.Name, Needs: task.Needs, Age: task.Age,
	})
}

// forgetLocked removes an endpoint and the placements on it. nextOwner is the name
// under which the usage of its tasks counts against limits from now on, or empty.
func (d *Dispatcher) forgetLocked(endpoint, nextOwner string) {
	d.sched.DropTo(endpoint, nextOwner)
	delete(d.epochs, endpoint)
	delete(d.endpoints, endpoint)
	d.endpointGone = true
	for k, at := range d.placements {
		if at.endpoint == endpoint {
			delete(d.placements, k)
		}
	}
}

// Reported implements hold.Sink.
func (d *Dispatcher) Reported(t hold.Target, report *point.Report) {
	d.sched.Report(t.Name, report.Reported)
	if report.Leaving {
		d.Leaving(t)
	}
	for i := range report.Tasks {
		d.releaseEnded(t, &report.Tasks[i])
		d.reportEnd(t, &report.Tasks[i])
	}
}

// releaseEnded releases the capacity of a task if it has ended.
func (d *Dispatcher) releaseEnded(t hold.Target, task *point.Task) {
	if k, ok := keyOf(task); ok && task.State.Ended() {
		d.recordEnd(k, placement{t.Name, task.Attempt}, task.State)
		d.release(k, placement{t.Name, task.Attempt}, task.State == point.Done)
	}
}

// reportEnd forwards the end of a job's task to Jobs, and acknowledges that of a
// quick task. The result of a quick task is in its answer, so the endpoint may
// delete the task.
func (d *Dispatcher) reportEnd(t hold.Target, task *point.Task) {
	if !task.State.Ended() {
		return
	}
	if isQuick(task.Kind) {
		d.acks.Ack(t.Name, task.Seq)
		return
	}
	d.jobs.Ended(t, task)
}

// Paused implements hold.Sink. The scheduler places no more tasks on the endpoint
// until Resumed adds it again; the endpoint itself need not be leaving.
func (d *Dispatcher) Paused(t hold.Target) { d.sched.Leave(t.Name) }

// Resumed implements hold.Sink.
func (d *Dispatcher) Resumed(t hold.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.endpoints[t.Name]
	if !ok {
		return
	}
	e.Leaving = t.Leaving
	d.endpoints[t.Name] = e
	d.sched.Join(e)
	d.Kick()
}

// Leaving implements hold.Sink.
func (d *Dispatcher) Leaving(t hold.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if e, ok := d.endpoints[t.Name]; ok {
		e.Leaving = true
		d.endpoints[t.Name] = e
		d.endpointGone = true
	}
	d.sched.Leave(t.Name)
}

// Lapsed implements hold.Sink. Every task there has ended.
func (d *Dispatcher) Lapsed(t hold.Target, epoch uint64) {
	for k, at := range d.placementsAt(t.Name) {
		d.recordEnd(k, at, point.Lapsed)
		d.release(k, at, false)
	}
	d.jobs.Lapsed(t, epoch)
}

func (d *Dispatcher) placementsAt(endpoint string) map[taskKey]placement {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[taskKey]placement)
	for k, at := range d.placements {
		if at.endpoint == endpoint {
			out[k] = at
		}
	}
	return out
}

// Closed implements hold.Sink.
func (d *Dispatcher) Closed(t hold.Target) {
	nextOwner := d.nextOwner(t)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.forgetLocked(t.Name, nextOwner)
}
