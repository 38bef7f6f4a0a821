package exec

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/desk"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

const (
	// maxStarts bounds how many endpoints are tried for one attempt of the
	// entry.
	maxStarts = 5
	// chunkSize is how much of an answer is passed on at a time, in bytes.
	chunkSize = 32 << 10
	// viewTimeout bounds one question to an endpoint after a lost answer.
	viewTimeout = time.Second
	// fatePeriod is the time between two such questions.
	fatePeriod = 100 * time.Millisecond
	// fateTime bounds how long the fate of a run is looked for.
	fateTime = 5 * time.Second
)

// Runner runs quick requests. All methods may be called concurrently.
type Runner struct {
	timer   *timer.Service
	queue   Queue
	owner   Owner
	client  Client
	starts  *starts
	lines   *lines
	waits   metrics.Timer
	ended   func(o wire.Outcome) // counts outcomes
	running metrics.Counter
	early   metrics.Counter // refused because their turn would come too late
}

// New returns a Runner that counts in r.
func New(s *timer.Service, q Queue, o Owner, c Client, r metrics.Registry) *Runner {
	return &Runner{
		timer: s, queue: q, owner: o, client: c, starts: newStarts(), lines: newLines(),
		waits:   metrics.GetOrRegisterTimer("placer.quick.wait", r),
		running: metrics.GetOrRegisterCounter("placer.quick.running", r),
		early:   metrics.GetOrRegisterCounter("placer.quick.early", r),
		ended: func(o wire.Outcome) {
			metrics.GetOrRegisterCounter("placer.quick."+string(o), r).Inc(1)
		},
	}
}

// Run answers one request with events on out. The context ends when the
// caller has gone: a request that still waits is dropped then, one that runs
// is left to its end.
func (r *Runner) Run(ctx context.Context, req *wire.Request, out Sender) {
	job := &run{runner: r, req: req, out: out, asked: r.timer.Now()}
	if req.Budget > 0 {
		job.deadline = job.asked.Add(req.Budget)
	}
	final := job.queue(ctx)
	final.ID, final.Attempt = req.ID, req.Attempt
	r.ended(final.Outcome)
	_ = out.Send(final)
}

// run is one request under way.
type run struct {
	runner   *Runner
	req      *wire.Request
	out      Sender
	asked    time.Time
	deadline time.Time // zero if there is none
	avoid    []string
	starts   uint32
}

func (j *run) item() sched.Item {
	return sched.Item{
		ID: desk.QuickID(j.req.ID, j.req.Attempt), Attempt: desk.FirstAttempt(j.req.Attempt) + j.starts,
		Team: j.req.Team, Queue: j.req.Queue, Kind: wire.Quick, Name: j.req.Name, Needs: j.req.Needs,
		Tasks: 1, Runtime: j.req.Runtime, Deadline: j.deadline, Urgent: j.req.Urgent,
		Avoid: append(append([]string(nil), j.req.Avoid...), j.avoid...),
	}
}

// queue waits for decisions and tries them until one has an outcome.
func (j *run) queue(ctx context.Context) *wire.Event {
	for {
		ticket, o, err := j.wait(ctx)
		if err != nil {
			return unplaced(err)
		}
		j.runner.waits.UpdateSince(j.asked)
		event, again := j.try(ctx, o)
		// The next try avoids the endpoint, which the scheduler has to be told
		// by a new item.
		ticket.Close()
		if !again {
			return event
		}
	}
}

// wait queues the request and waits for a decision. The error says why there
// is none; then nothing is queued any more.
func (j *run) wait(ctx context.Context) (*desk.Ticket, desk.Order, error) {
	r, c := j.runner, classOf(j.req)
	if !r.lines.enter(c, r.timer.Now(), j.deadline) {
		r.early.Inc(1)
		return nil, desk.Order{}, &sched.RefusedError{
			ID: j.req.ID, Reason: wire.ReasonBusy, Detail: "its turn is not expected before the deadline",
		}
	}
	started := false
	defer func() { r.lines.leave(c, r.timer.Now(), started) }()
	ticket, err := r.queue.Queue(j.item())
	if err != nil {
		return nil, desk.Order{}, err
	}
	o, err := ticket.Wait(ctx)
	started = err == nil
	return ticket, o, err
}

// unplaced returns the final event for a request that wasn't queued, or left
// the queue without a decision.
func unplaced(err error) *wire.Event {
	var r *sched.RefusedError
	if errors.As(err, &r) {
		return &wire.Event{Outcome: wire.NotRun, Reason: r.Reason, Detail: r.Detail}
	}
	var e *desk.ExpiredError
	if errors.As(err, &e) {
		return &wire.Event{Outcome: wire.NotRun, Reason: wire.ReasonDeadline, Detail: err.Error()}
	}
	var moved *desk.MovedError
	if errors.As(err, &moved) {
		return &wire.Event{Outcome: wire.NotRun, Reason: wire.ReasonBusy, Detail: err.Error()}
	}
	var stop *StopError
	if errors.As(err, &stop) {
		return &wire.Event{Outcome: wire.NotRun, Reason: stop.Reason}
	}
	return &wire.Event{Outcome: wire.NotRun, Reason: wire.ReasonCancel}
}
