package jobs

import (
	"context"
	"math"
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/desk"
)

const (
	// doubtPeriod is the time between questions about tasks in doubt.
	doubtPeriod = time.Second
	// auditRounds is after how many periods tasks at endpoints of other owners
	// are asked for, in case that a note got lost.
	auditRounds = 30
	// goneTime is how long an endpoint is missing from settings and the host
	// list before nothing is expected of it. It is longer than the list lags
	// and leases last.
	goneTime = time.Minute
)

// doubtLoop asks endpoints about tasks of which nobody knows whether they run.
func (d *Driver) doubtLoop(ctx context.Context) {
	gone := make(map[string]time.Duration)
	mute := make(map[string]time.Duration)
	for round := 1; d.timer.Sleep(ctx, doubtPeriod) == nil; round++ {
		if round%auditRounds == 0 {
			d.audit()
		}
		for endpoint, list := range d.doubts() {
			d.inquire(ctx, endpoint, list, gone, mute)
		}
	}
}

// doubtful is a task in doubt and its job.
type doubtful struct {
	job *job
	placed
}

func (d *Driver) doubts() map[string][]doubtful {
	out := make(map[string][]doubtful)
	for _, j := range d.all() {
		for _, e := range j.at("") {
			if e.doubt {
				out[e.endpoint] = append(out[e.endpoint], doubtful{j, e})
			}
		}
	}
	return out
}

// audit puts tasks in doubt that run at endpoints of other owners.
func (d *Driver) audit() {
	for _, j := range d.all() {
		for _, e := range j.at("") {
			if seat := d.owner.Ownership(e.endpoint); seat != nil {
				if _, owned := seat.Owned(); owned {
					continue
				}
			}
			j.mu.Lock()
			j.tasks[e.n].doubt = j.tasks[e.n].live && !j.tasks[e.n].asked
			j.mu.Unlock()
		}
	}
}

// inquire settles tasks in doubt at one endpoint. gone and mute hold since when
// endpoints are missing from the list, and since when they don't answer.
func (d *Driver) inquire(ctx context.Context, endpoint string, list []doubtful, gone, mute map[string]time.Duration) {
	seat := d.owner.Ownership(endpoint)
	if seat == nil {
		d.missing(endpoint, list, gone)
		return
	}
	delete(gone, endpoint)
	halted := make([]bool, len(list))
	for i, e := range list {
		halted[i] = d.haltUnarrived(ctx, e)
	}
	view, err := d.view(ctx, seat.Target().Address)
	if err != nil {
		d.silent(ctx, endpoint, mute)
		return
	}
	delete(mute, endpoint)
	for i, e := range list {
		if d.unarrived(e, &view) && !halted[i] {
			d.bar(ctx, e)
			continue
		}
		d.resolve(e, &view, halted[i])
	}
}

func (d *Driver) view(ctx context.Context, address string) (point.View, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return d.client.View(ctx, address)
}

// silent ends what ran at an endpoint that hasn't answered for as long as
// leases can last and that no placer has owned for as long either.
func (d *Driver) silent(ctx context.Context, endpoint string, mute map[string]time.Duration) {
	now := d.timer.Boot()
	since, ok := mute[endpoint]
	if !ok {
		mute[endpoint] = now
		return
	}
	if now-since >= d.owner.Span() && !d.owner.Held(endpoint) && d.Abandoned(ctx, endpoint) {
		d.lapsed(endpoint, math.MaxUint64)
	}
}

// missing gives up tasks at an endpoint that has long been gone from the host
// list; its host was replaced.
func (d *Driver) missing(endpoint string, list []doubtful, gone map[string]time.Duration) {
	now := d.timer.Boot()
	since, ok := gone[endpoint]
	if !ok {
		gone[endpoint] = now
		return
	}
	if now-since < goneTime {
		return
	}
	for _, e := range list {
		d.ended(e.job, e.ending)
	}
}

// haltUnarrived stops a start of this process that got no answer, under the
// epoch in which it was sent, and reports whether it will not begin any more
// if it hasn't.
func (d *Driver) haltUnarrived(ctx context.Context, e doubtful) bool {
	if !e.job.sentHere(&e.placed) {
		return e.job.barred(e.n, e.attempt)
	}
	h := halt{ID: e.job.id(), Task: e.n, Attempt: e.attempt, Endpoint: e.endpoint, Mode: point.ModeStop}
	return d.haltHere(ctx, h) || d.haltThere(ctx, h)
}

// bar stops a start that an earlier driver may have had sent by the owner of
// the endpoint and that the endpoint doesn't have. Whether it began before
// that is seen at the next look.
func (d *Driver) bar(ctx context.Context, e doubtful) {
	h := halt{ID: e.job.id(), Task: e.n, Attempt: e.attempt, Endpoint: e.endpoint, Mode: point.ModeStop}
	if !d.haltHere(ctx, h) && !d.haltThere(ctx, h) {
		return
	}
	e.job.mu.Lock()
	e.job.tasks[e.n].barred = e.attempt
	e.job.mu.Unlock()
}

// barred reports whether an attempt of a task will not begin any more if it
// hasn't.
func (j *job) barred(n int, attempt uint32) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.tasks[n].barred == attempt
}

// unarrived reports whether a task's start may still arrive: the endpoint
// doesn't have it and the owner that may have sent it owns the endpoint still.
func (d *Driver) unarrived(e doubtful, view *point.View) bool {
	return e.phase == wire.Sent && view.Owner.Epoch == e.epoch && findTask(view.Tasks, e.job.id(), e.n, e.attempt) == nil
}

// sentHere reports whether this process sent the start of a placed task and
// still has no answer: its endpoint may have been opened meanwhile and the task
// found to run there.
func (j *job) sentHere(e *placed) bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	o := j.tasks[e.n].order
	unanswered := j.tasks[e.n].doubt && j.row.Tasks[e.n].Phase == wire.Sent
	return o.Endpoint == e.endpoint && o.Attempt == e.attempt && o.Epoch == e.epoch && unanswered
}

// resolve settles a task with what its endpoint says. A task that isn't there
// surely doesn't run only if its start can't arrive any more: the endpoint has
// a later owner, or the start was stopped before the endpoint was asked.
func (d *Driver) resolve(e doubtful, view *point.View, halted bool) {
	t := findTask(view.Tasks, e.job.id(), e.n, e.attempt)
	switch {
	case t != nil || view.Owner.Epoch > e.epoch:
		d.compare(e.job, e.placed, view.Tasks)
	case e.phase == wire.Running:
		// It ran under the present owner and is gone: its end was taken note
		// of by the driver before, or the endpoint was restarted.
		d.ended(e.job, e.ending)
	case halted && view.Owner.Epoch == e.epoch:
		o := e.job.orderOf(e.n)
		d.spawn(func(ctx context.Context) { d.unstarted(ctx, e.job, []desk.Order{o}, e.endpoint) })
	}
}

func (j *job) orderOf(n int) desk.Order {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.tasks[n].order
}
