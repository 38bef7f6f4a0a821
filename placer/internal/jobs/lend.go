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
	lendPause = 50 * time.Millisecond
	lendWait  = 400 * time.Millisecond
	// waitTime is how long it counts how many wait at another placer.
	waitTime = 5 * time.Second
	// maxLent bounds the lends of a placer; more tasks wait at home.
	maxLent = 256
	// lendWords bounds the lends that one word tells of.
	lendWords = 64
)

// lend is tasks of one batch job that wait at another placer.
type lend struct {
	job     *job
	placer  string
	item    sched.Item // of all its tasks
	epoch   uint64
	mute    int // words in a row without an answer
	busy    int // launches under way
	dropped bool
}

// lendKey names a lend.
type lendKey struct{ id, placer string }

// heard is how many requests wait at another placer.
type heard struct {
	waiting int
	at      time.Duration
}

// spreadLocked takes some tasks out of an item that waits at home, because
// others wait there already, and lets them wait at other placers of the zone.
func (d *Driver) spreadLocked(j *job, item *sched.Item) {
	home := 0
	if item.Kind == wire.Batch && !item.Urgent {
		home = d.queue.Backlog()
	}
	if home == 0 {
		return
	}
	peers := d.peers()
	parts := make(map[string][]int)
	stay := item.Numbers[:0:0]
	for _, n := range item.Numbers {
		x := rand.IntN(len(peers) + 1) //nolint:gosec // Spreading load needs no secrecy.
		if j.tasks[n].home || x == len(peers) || d.waitingAt(peers[x].Name)+len(parts[peers[x].Name]) >= home+len(stay) {
			stay = append(stay, n)
			continue
		}
		parts[peers[x].Name] = append(parts[peers[x].Name], n)
	}
	item.Numbers, item.Tasks = stay, len(stay)
	for placer, numbers := range parts {
		part := *item
		part.Numbers = numbers
		if !d.lendLocked(j, placer, part) {
			item.Numbers = append(item.Numbers, numbers...)
			item.Tasks = len(item.Numbers)
		}
	}
}

// lendLocked lets tasks wait at another placer and reports whether there may be
// so many lends.
func (d *Driver) lendLocked(j *job, placer string, item sched.Item) bool {
	d.mu.Lock()
	k := lendKey{item.ID, placer}
	if d.lends[k] != nil || len(d.lends) >= maxLent {
		d.mu.Unlock()
		return false
	}
	d.lends[k] = &lend{job: j, placer: placer, item: item, epoch: j.row.Epoch}
	begin := !d.lending[placer]
	d.lending[placer] = true
	d.mu.Unlock()
	d.counts.lent.Inc(int64(len(item.Numbers)))
	for _, n := range item.Numbers {
		j.tasks[n].lent = placer
	}
	if begin {
		d.spawn(func(ctx context.Context) { d.lendTo(ctx, placer) })
	}
	return true
}

// waitingAt returns how many requests wait at another placer, as far as it is
// known.
func (d *Driver) waitingAt(placer string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.waits[placer]
	if !ok || d.timer.Boot()-h.at > waitTime {
		return 0
	}
	return h.waiting
}

// lendTo asks a placer for room for as long as tasks wait there.
func (d *Driver) lendTo(ctx context.Context, placer string) {
	for list := d.lentTo(placer); len(list) > 0; list = d.lentTo(placer) {
		d.askRoom(ctx, placer, list)
		if d.timer.Sleep(ctx, lendPause) != nil {
			return
		}
	}
}

// lentTo returns a word's worth of the lends to a placer. If there are none
// it is not asked any more.
func (d *Driver) lentTo(placer string) []*lend {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []*lend
	for _, l := range d.lends {
		if l.placer == placer && len(out) < lendWords {
			out = append(out, l)
		}
	}
	if len(out) == 0 {
		delete(d.lending, placer)
	}
	return out
}

// askRoom tells one placer which tasks wait there and starts what has room.
func (d *Driver) askRoom(ctx context.Context, placer string, list []*lend) {
	in := note{}
	for _, l := range list {
		d.late(l.job)
		b := newBook(&l.item, l.epoch, l.wanted())
		b.Drop = len(b.Numbers) == 0 && !d.launching(l)
		l.dropped = b.Drop
		in.Loans = append(in.Loans, b)
	}
	bounded, cancel := context.WithTimeout(ctx, sayTimeout)
	out, err := d.ask(bounded, placer, &in)
	cancel()
	if err == nil {
		d.mu.Lock()
		d.waits[placer] = heard{waiting: out.Room, at: d.timer.Boot()}
		d.mu.Unlock()
	}
	for i, l := range list {
		switch {
		case l.dropped:
			d.unlend(l) // a word that got lost ends by itself
		case err != nil || i >= len(out.Loans):
			if l.mute++; l.mute >= maxMute {
				d.unlend(l)
			}
		case out.Loans[i].Void:
			d.unlend(l)
		default:
			l.mute = 0
			d.startLent(l, out.Loans[i].Kept)
		}
	}
}

// launching reports whether tasks of a lend are being started.
func (d *Driver) launching(l *lend) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return l.busy > 0
}

// wanted returns the tasks that still wait at the other placer.
func (l *lend) wanted() []int {
	j := l.job
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []int
	for _, n := range l.item.Numbers {
		if j.activeLocked() && j.row.Epoch == l.epoch && j.tasks[n].lent == l.placer && !j.tasks[n].live && j.row.Tasks[n].Outcome == "" {
			out = append(out, n)
		}
	}
	return out
}

// unlend ends a lend. What still waits does so at home.
func (d *Driver) unlend(l *lend) {
	d.mu.Lock()
	delete(d.lends, lendKey{l.item.ID, l.placer})
	d.mu.Unlock()
	left := l.wanted()
	l.job.mu.Lock()
	for _, n := range left {
		l.job.tasks[n].lent, l.job.tasks[n].home = "", true
	}
	l.job.mu.Unlock()
	if len(left) > 0 {
		d.submit(l.job)
	}
}

// startLent writes the attempts of tasks that have room at another placer, and
// has it start them.
func (d *Driver) startLent(l *lend, kept []booked) {
	p := &portion{placer: l.placer, kept: kept}
	g := &gathering{item: l.item, epoch: l.epoch}
	var orders []desk.Order
	wanted := make(map[int]bool)
	for _, n := range l.wanted() {
		wanted[n] = true
	}
	for _, o := range p.orders(g) {
		if o.Kind = wire.Batch; wanted[o.Task] {
			orders = append(orders, o)
		}
	}
	if len(orders) == 0 || !l.job.send(orders) {
		return
	}
	l.job.asked(orders, true)
	d.mu.Lock()
	l.busy++
	d.mu.Unlock()
	d.spawn(func(ctx context.Context) {
		if err := d.flush(ctx, l.job); err != nil {
			l.job.asked(orders, false)
			d.unstarted(ctx, l.job, orders, "")
		} else {
			d.launchAt(ctx, l.job, l.placer, &launch{Epoch: l.epoch, Attempt: l.item.Attempt}, orders)
		}
		d.mu.Lock()
		l.busy--
		d.mu.Unlock()
	})
}
