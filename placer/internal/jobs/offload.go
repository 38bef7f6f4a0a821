package jobs

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/desk"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

const (
	// lendPause is the least time between two words to a placer where tasks
	// wait. It answers once there is room, at lendWait at the latest.
	offloadPollInterval = 50 * time.Millisecond
	offloadPollTimeout  = 400 * time.Millisecond
	// waitTime is how long it counts how many wait at another placer.
	backlogTTL = 5 * time.Second
	// maxLent bounds the lends of a placer; more tasks wait at home.
	maxOffloads = 256
	// lendWords bounds the lends that one word tells of.
	maxOffloadsPerPoll = 64
)

// lend is tasks of one batch job that wait at another placer.
type offload struct {
	job        *job
	placer     string
	item       sched.Item // of all its tasks
	epoch      uint64
	unanswered int // words in a row without an answer
	launches   int // launches under way
	released   bool
}

// lendKey names a lend.
type offloadKey struct{ id, placer string }

// heard is how many requests wait at another placer.
type backlog struct {
	waiting  int
	received time.Duration
}

// spreadLocked takes some tasks out of an item that waits at home, because
// others wait there already, and lets them wait at other placers of the zone.
func (d *Driver) offloadLocked(j *job, item *sched.Item) {
	local := 0
	if item.Kind == wire.Batch && !item.Urgent {
		local = d.queue.Backlog()
	}
	if local == 0 {
		return
	}
	peers := d.peers()
	parts := make(map[string][]int)
	stay := item.Numbers[:0:0]
	for _, n := range item.Numbers {
		x := rand.IntN(len(peers) + 1) //nolint:gosec // Spreading load needs no secrecy.
		if j.tasks[n].localOnly || x == len(peers) || d.backlogAt(peers[x].Name)+len(parts[peers[x].Name]) >= local+len(stay) {
			stay = append(stay, n)
			continue
		}
		parts[peers[x].Name] = append(parts[peers[x].Name], n)
	}
	item.Numbers, item.Tasks = stay, len(stay)
	for placer, numbers := range parts {
		part := *item
		part.Numbers = numbers
		if !d.addOffloadLocked(j, placer, part) {
			item.Numbers = append(item.Numbers, numbers...)
			item.Tasks = len(item.Numbers)
		}
	}
}

// lendLocked lets tasks wait at another placer and reports whether there may be
// so many lends.
func (d *Driver) addOffloadLocked(j *job, placer string, item sched.Item) bool {
	d.mu.Lock()
	k := offloadKey{item.ID, placer}
	if d.offloads[k] != nil || len(d.offloads) >= maxOffloads {
		d.mu.Unlock()
		return false
	}
	d.offloads[k] = &offload{job: j, placer: placer, item: item, epoch: j.row.Epoch}
	begin := !d.polled[placer]
	d.polled[placer] = true
	d.mu.Unlock()
	d.counts.offloaded.Inc(int64(len(item.Numbers)))
	for _, n := range item.Numbers {
		j.tasks[n].remote = placer
	}
	if begin {
		d.spawn(func(ctx context.Context) { d.pollLoop(ctx, placer) })
	}
	return true
}

// waitingAt returns how many requests wait at another placer, as far as it is
// known.
func (d *Driver) backlogAt(placer string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.backlogs[placer]
	if !ok || d.timer.Boot()-h.received > backlogTTL {
		return 0
	}
	return h.waiting
}

// lendTo asks a placer for room for as long as tasks wait there.
func (d *Driver) pollLoop(ctx context.Context, placer string) {
	for list := d.offloadsTo(placer); len(list) > 0; list = d.offloadsTo(placer) {
		d.pollOffloads(ctx, placer, list)
		if d.timer.Sleep(ctx, offloadPollInterval) != nil {
			return
		}
	}
}

// lentTo returns a word's worth of the lends to a placer. If there are none
// it is not asked any more.
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

// askRoom tells one placer which tasks wait there and starts what has room.
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
			d.endOffload(off) // a word that got lost ends by itself
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

// launching reports whether tasks of a lend are being started.
func (d *Driver) launchPending(off *offload) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return off.launches > 0
}

// wanted returns the tasks that still wait at the other placer.
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

// unlend ends a lend. What still waits does so at home.
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

// startLent writes the attempts of tasks that have room at another placer, and
// has it start them.
func (d *Driver) startOffloaded(off *offload, kept []grant) {
	p := &share{placer: off.placer, grants: kept}
	g := &gangReserver{item: off.item, epoch: off.epoch}
	var orders []desk.Order
	wanted := make(map[int]bool)
	for _, n := range off.waiting() {
		wanted[n] = true
	}
	for _, o := range p.orders(g) {
		if o.Kind = wire.Batch; wanted[o.Task] {
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
