package jobs

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/queue"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

const (
	// offloadPollInterval is the pause between two polls of a placer.
	offloadPollInterval = 50 * time.Millisecond
	// offloadPollTimeout is how long the polled placer waits for capacity
	// before it answers without any.
	offloadPollTimeout = 400 * time.Millisecond
	// backlogTTL is how long the backlog reported by another placer is used.
	backlogTTL = 5 * time.Second
	// maxOffloads bounds the offloads of one driver; further tasks wait in the
	// local queue.
	maxOffloads = 256
	// maxOffloadsPerPoll bounds the offloads in one request.
	maxOffloadsPerPoll = 64
)

// offload is the tasks of one batch job that wait in another placer's queue. The
// driver polls that placer for capacity and has it start what fits.
type offload struct {
	job        *job
	placer     string
	item       sched.Item // has all tasks that were offloaded
	epoch      uint64     // of the driver
	unanswered int        // consecutive polls without an answer
	launches   int        // launchRequests under way, guarded by Driver.mu
	released   bool       // the current poll ends it
}

// offloadKey identifies an offload by job and placer.
type offloadKey struct{ id, placer string }

// backlog is the queue length that another placer last reported.
type backlog struct {
	waiting  int
	received time.Duration // on the clock of timer.Service.Boot
}

// offloadLocked moves some tasks of a batch item to the queues of other placers
// of the zone if requests wait in the local queue already. It removes them from
// item. A placer is chosen at random per task and gets it only while its backlog
// is shorter than the local one.
func (d *Driver) offloadLocked(j *job, item *sched.Item) {
	localBacklog := 0
	if item.Kind == wire.Batch && !item.Urgent {
		localBacklog = d.queue.Backlog()
	}
	if localBacklog == 0 {
		return
	}
	peers := d.peers()
	byPlacer := make(map[string][]int)
	stay := item.Numbers[:0:0]
	for _, n := range item.Numbers {
		x := rand.IntN(len(peers) + 1) //nolint:gosec // Load balancing needs no secure randomness.
		if j.tasks[n].localOnly || x == len(peers) || d.backlogAt(peers[x].Name)+len(byPlacer[peers[x].Name]) >= localBacklog+len(stay) {
			stay = append(stay, n)
			continue
		}
		byPlacer[peers[x].Name] = append(byPlacer[peers[x].Name], n)
	}
	item.Numbers, item.Tasks = stay, len(stay)
	for placer, numbers := range byPlacer {
		part := *item
		part.Numbers = numbers
		if !d.addOffloadLocked(j, placer, part) {
			item.Numbers = append(item.Numbers, numbers...)
			item.Tasks = len(item.Numbers)
		}
	}
}

// addOffloadLocked offloads the tasks of item to a placer. It reports false if the
// job has an offload there already or there are maxOffloads.
func (d *Driver) addOffloadLocked(j *job, placer string, item sched.Item) bool {
	d.mu.Lock()
	k := offloadKey{item.ID, placer}
	if d.offloads[k] != nil || len(d.offloads) >= maxOffloads {
		d.mu.Unlock()
		return false
	}
	d.offloads[k] = &offload{job: j, placer: placer, item: item, epoch: j.row.Epoch}
	startPolling := !d.polled[placer]
	d.polled[placer] = true
	d.mu.Unlock()
	d.counts.offloaded.Inc(int64(len(item.Numbers)))
	for _, n := range item.Numbers {
		j.tasks[n].remote = placer
	}
	if startPolling {
		d.spawn(func(ctx context.Context) { d.pollLoop(ctx, placer) })
	}
	return true
}

// backlogAt returns the queue length that another placer reported within
// backlogTTL, or 0.
func (d *Driver) backlogAt(placer string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.backlogs[placer]
	if !ok || d.timer.Boot()-b.received > backlogTTL {
		return 0
	}
	return b.waiting
}

// pollLoop polls a placer until it has no tasks of this driver left.
func (d *Driver) pollLoop(ctx context.Context, placer string) {
	for list := d.offloadsTo(placer); len(list) > 0; list = d.offloadsTo(placer) {
		d.pollOffloads(ctx, placer, list)
		if d.timer.Sleep(ctx, offloadPollInterval) != nil {
			return
		}
	}
}

// offloadsTo returns up to maxOffloadsPerPoll offloads to a placer. If there are
// none it records that the placer is no longer polled.
func (d *Driver) offloadsTo(placer string) []*offload {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*offload
	for _, off := range d.offloads {
		if off.placer == placer && len(out) < maxOffloadsPerPoll {
			out = append(out, off)
		}
	}
	if len(out) == 0 {
		delete(d.polled, placer)
	}
	return out
}

// pollOffloads renews the given offloads at one placer and has it start the tasks
// that got capacity.
func (d *Driver) pollOffloads(ctx context.Context, placer string, list []*offload) {
	in := peerRequest{}
	for _, off := range list {
		d.endIfLate(off.job)
		req := newReserveRequest(&off.item, off.epoch, off.waiting())
		req.Release = len(req.Numbers) == 0 && !d.launchPending(off)
		off.released = req.Release
		in.Offloads = append(in.Offloads, req)
	}
	pollCtx, cancel := context.WithTimeout(ctx, reserveTimeout)
	out, err := d.callPlacer(pollCtx, placer, &in)
	cancel()
	if err == nil {
		d.mu.Lock()
		d.backlogs[placer] = backlog{waiting: out.Count, received: d.timer.Boot()}
		d.mu.Unlock()
	}
	for i, off := range list {
		switch {
		case off.released:
			d.endOffload(off) // if the release is lost, the other placer lets it expire
		case err != nil || i >= len(out.Offloads):
			if off.unanswered++; off.unanswered >= maxUnanswered {
				d.endOffload(off)
			}
		case out.Offloads[i].Rejected:
			d.endOffload(off)
		default:
			off.unanswered = 0
			d.startOffloaded(off, out.Offloads[i].Grants)
		}
	}
}

// launchPending reports whether tasks of an offload are being started.
func (d *Driver) launchPending(off *offload) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return off.launches > 0
}

// waiting returns the indexes of the tasks that still wait at the other placer.
func (off *offload) waiting() []int {
	j := off.job
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []int
	for _, n := range off.item.Numbers {
		if j.activeLocked() && j.row.Epoch == off.epoch && j.tasks[n].remote == off.placer && !j.tasks[n].live && j.row.Tasks[n].Outcome == "" {
			out = append(out, n)
		}
	}
	return out
}

// endOffload removes an offload and queues its waiting tasks locally.
func (d *Driver) endOffload(off *offload) {
	d.mu.Lock()
	delete(d.offloads, offloadKey{off.item.ID, off.placer})
	d.mu.Unlock()
	left := off.waiting()
	off.job.mu.Lock()
	for _, n := range left {
		off.job.tasks[n].remote, off.job.tasks[n].localOnly = "", true
	}
	off.job.mu.Unlock()
	if len(left) > 0 {
		d.submit(off.job)
	}
}

// startOffloaded writes the attempts of tasks for which another placer granted
// capacity, and then has that placer start them.
func (d *Driver) startOffloaded(off *offload, grants []grant) {
	s := &share{placer: off.placer, grants: grants}
	g := &gangReserver{item: off.item, epoch: off.epoch}
	var orders []queue.Order
	waiting := make(map[int]bool)
	for _, n := range off.waiting() {
		waiting[n] = true
	}
	for _, o := range s.orders(g) {
		if o.Kind = wire.Batch; waiting[o.Task] {
			orders = append(orders, o)
		}
	}
	if len(orders) == 0 || !off.job.markSent(orders) {
		return
	}
	off.job.setLaunching(orders, true)
	d.mu.Lock()
	off.launches++
	d.mu.Unlock()
	d.spawn(func(ctx context.Context) {
		if err := d.flush(ctx, off.job); err != nil {
			off.job.setLaunching(orders, false)
			d.requeueUnstarted(ctx, off.job, orders, "")
		} else {
			d.launchAt(ctx, off.job, off.placer, &launchRequest{Epoch: off.epoch, Attempt: off.item.Attempt}, orders)
		}
		d.mu.Lock()
		off.launches--
		d.mu.Unlock()
	})
}
