package jobs

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/roster"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/hold"
	"github.com/balsamford/balsamford/placer/internal/queue"
)

const (
	// noticeInterval is the time between attempts to notify the drivers of
	// ended tasks.
	noticeInterval = 500 * time.Millisecond
	// peerTimeout bounds one call to another placer, which may write a row
	// before it answers.
	peerTimeout = 5 * time.Second
	// rowCheckRounds is the number of unsuccessful attempts to find a task's
	// driver after which its row is read.
	rowCheckRounds = 6
	// maxNoticesPerRequest bounds the tasks in one request.
	maxNoticesPerRequest = 64
)

// notice is an ended task whose job is not driven by this placer. Its driver has
// to be notified.
type notice struct {
	endpoint string
	task     point.Task
	rounds   int // attempts without a driver that recorded the end
}

// Ended implements queue.Jobs.
func (d *Driver) Ended(t hold.Target, task *point.Task) {
	if d.recordEnd(t.Name, task, ack{endpoint: t.Name, seq: task.Seq}) != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unclaimed[task.ID+"@"+t.Name] = &notice{endpoint: t.Name, task: *task}
}

// Opened implements queue.Jobs.
func (d *Driver) Opened(t hold.Target, view *point.View) {
	tasks := make([]point.Task, len(view.Tasks))
	copy(tasks, view.Tasks)
	d.handleOpened(t.Name, view.Owner.Epoch, tasks)
	for i := range tasks {
		tasks[i].Output = nil
	}
	req := peerRequest{Endpoint: t.Name, Epoch: view.Owner.Epoch, Opened: true, Tasks: tasks}
	d.spawn(func(ctx context.Context) { d.broadcast(ctx, &req) })
}

// Lapsed implements queue.Jobs.
func (d *Driver) Lapsed(t hold.Target, epoch uint64) {
	d.handleLapsed(t.Name, epoch)
	req := peerRequest{Endpoint: t.Name, Epoch: epoch, Lapsed: true}
	d.spawn(func(ctx context.Context) { d.broadcast(ctx, &req) })
}

// peers returns the other live placers of the zone.
func (d *Driver) peers() []roster.Member {
	live := d.members.Live()
	out := make([]roster.Member, 0, len(live))
	for _, m := range live {
		if m.Name != d.name && m.Zone == d.zone {
			out = append(out, m)
		}
	}
	return out
}

// callPeer sends a request to another placer.
func (d *Driver) callPeer(ctx context.Context, m roster.Member, req *peerRequest) (peerReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var out peerReply
	err := d.caller.Call(ctx, m.Link, wire.VerbNote, req, &out)
	return out, err
}

// broadcast sends a request to all other live placers of the zone and ignores
// errors.
func (d *Driver) broadcast(ctx context.Context, req *peerRequest) {
	var g errgroup.Group
	for _, m := range d.peers() {
		g.Go(func() error { _, err := d.callPeer(ctx, m, req); return err })
	}
	_ = g.Wait()
}

// noticeLoop notifies the drivers of ended tasks until each end is written. Only
// then is the end acknowledged to the endpoint.
func (d *Driver) noticeLoop(ctx context.Context) {
	for d.timer.Sleep(ctx, noticeInterval) == nil {
		for endpoint, list := range d.pendingNotices() {
			d.deliver(ctx, endpoint, list)
		}
	}
}

// pendingNotices returns the unclaimed ends by endpoint, up to
// maxNoticesPerRequest of each.
func (d *Driver) pendingNotices() map[string][]*notice {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make(map[string][]*notice)
	for _, n := range d.unclaimed {
		if len(out[n.endpoint]) < maxNoticesPerRequest {
			out[n.endpoint] = append(out[n.endpoint], n)
		}
	}
	return out
}

// deliver sends the ends of tasks at one endpoint to the other placers until one
// has recorded each of them.
func (d *Driver) deliver(ctx context.Context, endpoint string, list []*notice) {
	in := peerRequest{Endpoint: endpoint}
	for _, n := range list {
		if d.recordEnd(endpoint, &n.task, ack{endpoint: endpoint, seq: n.task.Seq}) != nil {
			d.dropNotice(n, false) // this placer drives the job now; writing the row acknowledges the end
			continue
		}
		in.Tasks = append(in.Tasks, n.task)
	}
	for _, m := range d.likelyDrivers(in.Tasks) {
		if len(in.Tasks) == 0 {
			return
		}
		out, err := d.callPeer(ctx, m, &in)
		if err != nil {
			continue
		}
		in.Tasks = d.dropRecorded(endpoint, in.Tasks, out.Recorded)
	}
	for i := range in.Tasks {
		d.checkUndriven(ctx, endpoint, &in.Tasks[i])
	}
}

// likelyDrivers returns the other live placers of the zone. Placers that are known to
// drive one of the tasks come first.
func (d *Driver) likelyDrivers(tasks []point.Task) []roster.Member {
	peers := d.peers()
	d.mu.Lock()
	defer d.mu.Unlock()
	first := make(map[string]bool)
	for i := range tasks {
		first[d.taskDrivers[tasks[i].ID]] = true
	}
	slices.SortStableFunc(peers, func(a, b roster.Member) int {
		switch {
		case first[a.Name] == first[b.Name]:
			return 0
		case first[a.Name]:
			return -1
		}
		return 1
	})
	return peers
}

// dropRecorded drops the notices of tasks whose ends are recorded and returns the
// other tasks.
func (d *Driver) dropRecorded(endpoint string, tasks []point.Task, recorded []bool) []point.Task {
	rest := make([]point.Task, 0, len(tasks))
	for i := range tasks {
		if i < len(recorded) && recorded[i] {
			d.dropNotice(&notice{endpoint: endpoint, task: tasks[i]}, true)
			continue
		}
		rest = append(rest, tasks[i])
	}
	return rest
}

// dropNotice removes a notice. If acknowledge is set it acknowledges the end to the
// endpoint.
func (d *Driver) dropNotice(n *notice, acknowledge bool) {
	d.mu.Lock()
	delete(d.unclaimed, n.task.ID+"@"+n.endpoint)
	delete(d.taskDrivers, n.task.ID)
	d.mu.Unlock()
	if acknowledge {
		d.owner.Ack(n.endpoint, n.task.Seq)
	}
}

// checkUndriven reads the row of a task's job every rowCheckRounds rounds. If the
// job is gone, or the row no longer needs the end of this attempt, it acknowledges
// the end to the endpoint.
func (d *Driver) checkUndriven(ctx context.Context, endpoint string, t *point.Task) {
	d.mu.Lock()
	n := d.unclaimed[t.ID+"@"+endpoint]
	if n != nil {
		n.rounds++
	}
	readNow := n != nil && n.rounds%rowCheckRounds == 0
	d.mu.Unlock()
	if !readNow {
		return
	}
	id, i, ok := queue.SplitTaskID(t.ID)
	if !ok {
		d.dropNotice(n, true)
		return
	}
	row, _, err := d.readRow(ctx, id)
	var missing *store.MissingError
	if errors.As(err, &missing) {
		d.dropNotice(n, true)
		return
	}
	if err == nil && (row.Outcome != "" || i >= len(row.Tasks) || row.Tasks[i].Attempt > t.Attempt || row.Tasks[i].Outcome != "") {
		d.dropNotice(n, true)
	}
}
