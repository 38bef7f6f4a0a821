package exec

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/queue"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

const (
	// maxTries is how many decisions are tried for one attempt of the entry.
	maxTries = 5
	// chunkSize is the maximum size of one chunk of an answer, in bytes.
	chunkSize = 32 << 10
	// viewTimeout limits one query to an endpoint after a lost answer.
	viewTimeout = time.Second
	// resolvePeriod is the time between two such queries.
	resolvePeriod = 100 * time.Millisecond
	// maxResolveTime limits how long the outcome of a run is queried.
	maxResolveTime = 5 * time.Second
)

// Runner runs quick requests. All methods may be called concurrently.
type Runner struct {
	timer        *timer.Service
	queue        Queue
	owner        Owner
	client       Client
	pending      *pendingStarts
	backlogs     *backlogs
	waitTimes    metrics.Timer
	countOutcome func(o wire.Outcome)
	running      metrics.Counter
	refusedLate  metrics.Counter // refused because they would start after their deadline
}

// New returns a Runner that registers its metrics in r.
func New(s *timer.Service, q Queue, o Owner, c Client, r metrics.Registry) *Runner {
	return &Runner{
		timer: s, queue: q, owner: o, client: c, pending: newPendingStarts(), backlogs: newBacklogs(),
		waitTimes:   metrics.GetOrRegisterTimer("placer.quick.wait", r),
		running:     metrics.GetOrRegisterCounter("placer.quick.running", r),
		refusedLate: metrics.GetOrRegisterCounter("placer.quick.early", r),
		countOutcome: func(o wire.Outcome) {
			metrics.GetOrRegisterCounter("placer.quick."+string(o), r).Inc(1)
		},
	}
}

// Run runs one request and sends its events, the last of them the outcome, to
// out. ctx ends when the caller disconnects: a request that is still queued is
// dropped then, while one that was started runs to its end.
func (r *Runner) Run(ctx context.Context, req *wire.Request, out Sender) {
	j := &run{runner: r, req: req, out: out, received: r.timer.Now()}
	if req.Budget > 0 {
		j.deadline = j.received.Add(req.Budget)
	}
	final := j.queue(ctx)
	final.ID, final.Attempt = req.ID, req.Attempt
	r.countOutcome(final.Outcome)
	_ = out.Send(final)
}

// run is one request in progress.
type run struct {
	runner   *Runner
	req      *wire.Request
	out      Sender
	received time.Time
	deadline time.Time // zero if there is none
	avoid    []string
	retries  uint32
}

func (j *run) item() sched.Item {
	return sched.Item{
		ID: queue.QuickID(j.req.ID, j.req.Attempt), Attempt: queue.FirstAttempt(j.req.Attempt) + j.retries,
		Team: j.req.Team, Queue: j.req.Queue, Kind: wire.Quick, Name: j.req.Name, Needs: j.req.Needs,
		Tasks: 1, Runtime: j.req.Runtime, Deadline: j.deadline, Urgent: j.req.Urgent,
		Avoid: append(append([]string(nil), j.req.Avoid...), j.avoid...),
	}
}

// queue waits for decisions and tries them until one yields an outcome.
func (j *run) queue(ctx context.Context) *wire.Event {
	for {
		ticket, o, err := j.wait(ctx)
		if err != nil {
			return notRun(err)
		}
		j.runner.waitTimes.UpdateSince(j.received)
		event, again := j.try(ctx, o)
		// The next try may have to avoid this endpoint, which takes a new item
		// in the scheduler.
		ticket.Close()
		if !again {
			return event
		}
	}
}

// wait queues the request and waits for a decision. After an error, which says
// why there is no decision, the request is no longer queued.
func (j *run) wait(ctx context.Context) (*queue.Ticket, queue.Order, error) {
	r, c := j.runner, classOf(j.req)
	if !r.backlogs.enter(c, r.timer.Now(), j.deadline) {
		r.refusedLate.Inc(1)
		return nil, queue.Order{}, &sched.RefusedError{
			ID: j.req.ID, Reason: wire.ReasonBusy, Detail: "its turn is not expected before the deadline",
		}
	}
	started := false
	defer func() { r.backlogs.leave(c, r.timer.Now(), started) }()
	ticket, err := r.queue.Queue(j.item())
	if err != nil {
		return nil, queue.Order{}, err
	}
	o, err := ticket.Wait(ctx)
	started = err == nil
	return ticket, o, err
}

// notRun returns the final event for a request that wasn't queued, or left the
// queue without a decision.
func notRun(err error) *wire.Event {
	var r *sched.RefusedError
	if errors.As(err, &r) {
		return &wire.Event{Outcome: wire.NotRun, Reason: r.Reason, Detail: r.Detail}
	}
	var e *queue.ExpiredError
	if errors.As(err, &e) {
		return &wire.Event{Outcome: wire.NotRun, Reason: wire.ReasonDeadline, Detail: err.Error()}
	}
	var moved *queue.MovedError
	if errors.As(err, &moved) {
		return &wire.Event{Outcome: wire.NotRun, Reason: wire.ReasonBusy, Detail: err.Error()}
	}
	var stop *StopError
	if errors.As(err, &stop) {
		return &wire.Event{Outcome: wire.NotRun, Reason: stop.Reason}
	}
	return &wire.Event{Outcome: wire.NotRun, Reason: wire.ReasonCancel}
}
