package jobs

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"

	"github.com/balsamford/balsamford/coord/ledger"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/record"
)

const (
	// callTime bounds one call to the platform or another host.
	callTime = 2 * time.Second
	// heldLimit is how many jobs one host holds for the platform.
	heldLimit = 4096
	// changeTries is how often a row is tried that others change meanwhile.
	changeTries = 5
)

// Platform is the table service as far as jobs need it.
type Platform interface {
	Get(ctx context.Context, table, key string) (store.Row, error)
	Commit(ctx context.Context, ops []store.Op) error
}

// Caller makes calls to other processes.
type Caller interface {
	Call(ctx context.Context, address, verb string, in, out any) error
}

// Book accepts jobs and knows those that this host holds for the platform.
// All methods may be called concurrently.
type Book struct {
	clock    *timer.Service
	caller   Caller
	platform Platform
	ring     *record.Ring
	self     record.Host
	history  time.Duration
	held     metrics.Gauge
	written  metrics.Counter
	dropped  metrics.Counter

	mu      sync.Mutex // guards pending
	pending map[string]waiting
}

// waiting is a job that waits for the platform.
type waiting struct {
	job   wire.Job
	since time.Duration // on the clock that goes on during a suspension
}

// New returns a Book for the host self.
func New(clock *timer.Service, caller Caller, platform Platform, ring *record.Ring, self record.Host, r metrics.Registry, opts ...Option) *Book {
	b := &Book{
		clock: clock, caller: caller, platform: platform, ring: ring, self: self, pending: make(map[string]waiting), history: History,
		held:    metrics.GetOrRegisterGauge("entry.jobs.held", r),
		written: metrics.GetOrRegisterCounter("entry.jobs.written", r),
		dropped: metrics.GetOrRegisterCounter("entry.jobs.dropped", r),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// History returns how long ended jobs are kept.
func (b *Book) History() time.Duration { return b.history }

// Accept makes a job last. With Taken the earlier job is returned.
func (b *Book) Accept(ctx context.Context, req wire.Request) (Status, wire.Job) {
	job := wire.Job{Request: req, Zone: b.ring.Zone(req.ID), Phase: wire.Queued}
	if old, ok := b.find(req.ID); ok {
		return Taken, old
	}
	if b.old(req.ID) {
		return b.again(ctx, job)
	}
	found, err := b.create(ctx, job)
	if err == nil && found == nil {
		return Created, job
	}
	if err == nil {
		return Taken, *found
	}
	if b.hold(ctx, job) {
		return Held, job
	}
	var away *store.UnavailableError
	if errors.As(err, &away) && away.Unsent {
		return Refused, job
	}
	return Lost, job
}

// old reports whether an issued id is so old that what was known of it may have
// been deleted. Half of the history is left for clocks that differ and for
// writes under way.
func (b *Book) old(id string) bool {
	issued, ok := record.ParseIssued(id)
	return ok && b.clock.Now().Sub(issued.At) >= b.history/2
}

// again returns the job of an old id, which is never accepted anew.
func (b *Book) again(ctx context.Context, job wire.Job) (Status, wire.Job) {
	ctx, cancel := b.within(ctx)
	defer cancel()
	found, err := b.read(ctx, job.Request.ID)
	var missing *store.MissingError
	switch {
	case err == nil:
		return Taken, found
	case errors.As(err, &missing):
		return Gone, job
	}
	return Lost, job
}

// create writes a job's row. It returns the row that is there already, if
// any; a row that this very call wrote before its answer was lost is told
// from another by the marks being written together with it.
func (b *Book) create(ctx context.Context, job wire.Job) (*wire.Job, error) {
	ctx, cancel := b.within(ctx)
	defer cancel()
	ops, err := ledger.Create(b.key(job.Request.ID), &job, b.self.Name)
	if err != nil {
		return nil, &RowError{Key: job.Request.ID, Err: err}
	}
	if err = b.platform.Commit(ctx, ops); err == nil {
		b.written.Inc(1)
		return nil, nil
	}
	var conflict *store.ConflictError
	var away *store.UnavailableError
	lost := errors.As(err, &away) && !away.Unsent
	if !errors.As(err, &conflict) && !lost {
		return nil, err
	}
	found, readErr := b.read(ctx, job.Request.ID)
	if readErr == nil {
		return &found, nil
	}
	var missing *store.MissingError
	if conflict != nil && errors.As(readErr, &missing) {
		// The mark is there and the row is gone: the job has ended.
		job.Phase, job.Outcome, job.Reason = wire.Ended, wire.Unknown, wire.ReasonGone
		return &job, nil
	}
	return nil, err
}

// read returns a job's row.
func (b *Book) read(ctx context.Context, id string) (wire.Job, error) {
	job, _, err := b.row(ctx, id)
	return job, err
}

func (b *Book) row(ctx context.Context, id string) (wire.Job, uint64, error) {
	row, err := b.platform.Get(ctx, ledger.Jobs, b.key(id))
	if err != nil {
		return wire.Job{}, 0, err
	}
	var job wire.Job
	if err := cbor.Unmarshal(row.Value, &job); err != nil {
		return wire.Job{}, 0, &RowError{Key: row.Key, Err: err}
	}
	return job, row.Version, nil
}

// Find returns a job that this host holds, or its row.
func (b *Book) Find(ctx context.Context, id string) (View, error) {
	if job, ok := b.find(id); ok {
		return View{Job: job, Held: true}, nil
	}
	ctx, cancel := b.within(ctx)
	defer cancel()
	job, err := b.read(ctx, id)
	var missing *store.MissingError
	if errors.As(err, &missing) {
		return View{}, &UnknownError{ID: id}
	}
	return View{Job: job}, err
}

// Change changes a job's row under the condition that nobody else does so at
// the same time; change reports whether there is anything to write.
func (b *Book) Change(ctx context.Context, id string, change func(*wire.Job) bool) error {
	ctx, cancel := b.within(ctx)
	defer cancel()
	var err error
	for range changeTries {
		job, version, readErr := b.row(ctx, id)
		if readErr != nil {
			return readErr
		}
		if !change(&job) {
			return nil
		}
		ops, encErr := ledger.Update(b.key(id), &job, version, b.clock.Now())
		if encErr != nil {
			return &RowError{Key: id, Err: encErr}
		}
		err = b.platform.Commit(ctx, ops)
		var conflict *store.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
	return err
}

func (b *Book) key(id string) string { return ledger.Key(b.ring.Zone(id), id) }

func (b *Book) within(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	t := b.clock.After(callTime, cancel)
	return ctx, func() { t.Stop(); cancel() }
}
