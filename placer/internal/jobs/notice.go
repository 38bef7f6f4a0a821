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
	"github.com/balsamford/balsamford/placer/internal/desk"
	"github.com/balsamford/balsamford/placer/internal/hold"
)

const (
	// noticePeriod is the time between attempts to find the drivers of ended
	// tasks.
	noticeInterval = 500 * time.Millisecond
	// noteTimeout bounds one note; the other side writes a row meanwhile.
	peerTimeout = 5 * time.Second
	// rowRounds is after how many attempts without a driver the row is read.
	rowCheckRounds = 6
	// maxNotes bounds the tasks in one note.
	maxNoticesPerRequest = 64
)

// notice is an ended task whose job is driven elsewhere.
type notice struct {
	endpoint string
	task     point.Task
	rounds   int
}

// Ended implements desk.Jobs.
func (d *Driver) Ended(t hold.Target, task *point.Task) {
	if d.recordEnd(t.Name, task, ack{endpoint: t.Name, seq: task.Seq}) != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unclaimed[task.ID+"@"+t.Name] = &notice{endpoint: t.Name, task: *task}
}

// Opened implements desk.Jobs.
func (d *Driver) Opened(t hold.Target, view *point.View) {
	tasks := make([]point.Task, len(view.Tasks))
	copy(tasks, view.Tasks)
	d.handleOpened(t.Name, view.Owner.Epoch, tasks)
	for i := range tasks {
		tasks[i].Output = nil
	}
	n := peerRequest{Endpoint: t.Name, Epoch: view.Owner.Epoch, Opened: true, Tasks: tasks}
	d.spawn(func(ctx context.Context) { d.broadcast(ctx, &n) })
}

// Lapsed implements desk.Jobs.
func (d *Driver) Lapsed(t hold.Target, epoch uint64) {
	d.handleLapsed(t.Name, epoch)
	n := peerRequest{Endpoint: t.Name, Epoch: epoch, Lapsed: true}
	d.spawn(func(ctx context.Context) { d.broadcast(ctx, &n) })
}

// peers returns the other placers of the zone that live.
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

func (d *Driver) callPeer(ctx context.Context, m roster.Member, n *peerRequest) (peerReply, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var out peerReply
	err := d.caller.Call(ctx, m.Link, wire.VerbNote, n, &out)
	return out, err
}

func (d *Driver) broadcast(ctx context.Context, n *peerRequest) {
	var g errgroup.Group
	for _, m := range d.peers() {
		g.Go(func() error { _, err := d.callPeer(ctx, m, n); return err })
	}
	_ = g.Wait()
}

// noticeLoop tells the drivers of ended tasks until the end of each is
// written; then the endpoint may forget it.
func (d *Driver) noticeLoop(ctx context.Context) {
	for d.timer.Sleep(ctx, noticeInterval) == nil {
		for endpoint, list := range d.pendingNotices() {
			d.deliver(ctx, endpoint, list)
		}
	}
}

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

func (d *Driver) deliver(ctx context.Context, endpoint string, list []*notice) {
	in := peerRequest{Endpoint: endpoint}
	for _, n := range list {
		if d.recordEnd(endpoint, &n.task, ack{endpoint: endpoint, seq: n.task.Seq}) != nil {
			d.dropNotice(n, false) // the job came here; its write acknowledges
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

// likely returns the other placers of the zone, first those that are known to
// have driven the tasks.
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

// confirmed drops what a driver has written and returns the rest.
func (d *Driver) dropRecorded(endpoint string, tasks []point.Task, known []bool) []point.Task {
	rest := make([]point.Task, 0, len(tasks))
	for i := range tasks {
		if i < len(known) && known[i] {
			d.dropNotice(&notice{endpoint: endpoint, task: tasks[i]}, true)
			continue
		}
		rest = append(rest, tasks[i])
	}
	return rest
}

func (d *Driver) dropNotice(n *notice, forget bool) {
	d.mu.Lock()
	delete(d.unclaimed, n.task.ID+"@"+n.endpoint)
	delete(d.taskDrivers, n.task.ID)
	d.mu.Unlock()
	if forget {
		d.owner.Ack(n.endpoint, n.task.Seq)
	}
}

// undriven looks at the row of a task that no placer drives. If the row has
// no use for its end any more the endpoint may forget it.
func (d *Driver) checkUndriven(ctx context.Context, endpoint string, t *point.Task) {
	d.mu.Lock()
	n := d.unclaimed[t.ID+"@"+endpoint]
	if n != nil {
		n.rounds++
	}
	look := n != nil && n.rounds%rowCheckRounds == 0
	d.mu.Unlock()
	if !look {
		return
	}
	id, i, ok := desk.SplitTaskID(t.ID)
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
