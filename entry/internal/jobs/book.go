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
	// callTimeout bounds one call to the platform or another host.
	callTimeout = 2 * time.Second
	// maxHeldJobs is the maximum number of jobs that one host holds for the platform.
	maxHeldJobs = 4096
	// maxChangeAttempts is the maximum number of attempts to change a row that other
	// processes change concurrently.
	maxChangeAttempts = 5
)

// Platform is the part of the table service that jobs use.
type Platform interface {
	Get(ctx context.Context, table, key string) (store.Row, error)
	Commit(ctx context.Context, ops []store.Op) error
}

// Caller makes calls to other processes.
type Caller interface {
	Call(ctx context.Context, address, verb string, in, out any) error
}

// Book accepts jobs and holds those that can't yet be written to the platform. All
// methods may be called concurrently.
type Book struct {
	clock       *timer.Service
	caller      Caller
	platform    Platform
	ring        *record.Ring
	self        record.Host
	history     time.Duration
	heldGauge   metrics.Gauge
	rowsWritten metrics.Counter
	dropped     metrics.Counter

	mu       sync.Mutex // guards heldJobs
	heldJobs map[string]heldJob
}

// heldJob is a job whose row has yet to be written.
type heldJob struct {
	job   wire.Job
	since time.Duration // time since boot, which includes suspension, when the job was first held
}

// New returns a Book for the host self.
func New(clock *timer.Service, caller Caller, platform Platform, ring *record.Ring, self record.Host, r metrics.Registry, opts ...Option) *Book {
	b := &Book{
		clock: clock, caller: caller, platform: platform, ring: ring, self: self, heldJobs: make(map[string]heldJob), history: History,
		heldGauge:   metrics.GetOrRegisterGauge("entry.jobs.held", r),
		rowsWritten: metrics.GetOrRegisterCounter("entry.jobs.written", r),
		dropped:     metrics.GetOrRegisterCounter("entry.jobs.dropped", r),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// History returns how long ended jobs are kept.
func (b *Book) History() time.Duration { return b.history }

// Accept stores a job: as a row of the platform, or on two hosts if the write to
// the platform isn't confirmed. It returns the earlier job with Taken, otherwise
// the new one.
func (b *Book) Accept(ctx context.Context, req wire.Request) (Status, wire.Job) {
	job := wire.Job{Request: req, Zone: b.ring.Zone(req.ID), Phase: wire.Queued}
	if old, ok := b.findHeld(req.ID); ok {
		return Taken, old
	}
	if b.tooOld(req.ID) {
		return b.findTooOld(ctx, job)
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
	var unavailable *store.UnavailableError
	if errors.As(err, &unavailable) && unavailable.Unsent {
		return Refused, job
	}
	return InDoubt, job
}

// tooOld reports whether an issued id is so old that its job may have been deleted.
// The limit is half the history, which leaves a margin for clock skew and for
// writes in progress.
func (b *Book) tooOld(id string) bool {
	issued, ok := record.ParseIssued(id)
	return ok && b.clock.Now().Sub(issued.At) >= b.history/2
}

// findTooOld returns the existing job of an id that is too old for a new one.
func (b *Book) findTooOld(ctx context.Context, job wire.Job) (Status, wire.Job) {
	ctx, cancel := b.withCallTimeout(ctx)
	defer cancel()
	found, err := b.read(ctx, job.Request.ID)
	var missing *store.MissingError
	switch {
	case err == nil:
		return Taken, found
	case errors.As(err, &missing):
		return Gone, job
	}
	return InDoubt, job
}

// create writes a job's row. If a row may exist already, after a conflict or a lost
// answer, it reads the row and returns its job. If the conflict is with the mark
// written together with an earlier row and that row has been deleted, it returns
// the job as ended with an unknown outcome.
func (b *Book) create(ctx context.Context, job wire.Job) (*wire.Job, error) {
	ctx, cancel := b.withCallTimeout(ctx)
	defer cancel()
	ops, err := ledger.Create(b.key(job.Request.ID), &job, b.self.Name)
	if err != nil {
		return nil, &RowError{Key: job.Request.ID, Err: err}
	}
	if err = b.platform.Commit(ctx, ops); err == nil {
		b.rowsWritten.Inc(1)
		return nil, nil
	}
	var conflict *store.ConflictError
	var unavailable *store.UnavailableError
	lost := errors.As(err, &unavailable) && !unavailable.Unsent
	if !errors.As(err, &conflict) && !lost {
		return nil, err
	}
	found, readErr := b.read(ctx, job.Request.ID)
	if readErr == nil {
		return &found, nil
	}
	var missing *store.MissingError
	if conflict != nil && errors.As(readErr, &missing) {
		// The mark exists but the row has been deleted: the job has ended.
		job.Phase, job.Outcome, job.Reason = wire.Ended, wire.Unknown, wire.ReasonGone
		return &job, nil
	}
	return nil, err
}

// read returns the job in a row.
func (b *Book) read(ctx context.Context, id string) (wire.Job, error) {
	job, _, err := b.readVersioned(ctx, id)
	return job, err
}

func (b *Book) readVersioned(ctx context.Context, id string) (wire.Job, uint64, error) {
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

// Find returns a job that this host holds, or else the one in the platform's row. It
// returns an UnknownError if there is neither.
func (b *Book) Find(ctx context.Context, id string) (View, error) {
	if job, ok := b.findHeld(id); ok {
		return View{Job: job, Held: true}, nil
	}
	ctx, cancel := b.withCallTimeout(ctx)
	defer cancel()
	job, err := b.read(ctx, id)
	var missing *store.MissingError
	if errors.As(err, &missing) {
		return View{}, &UnknownError{ID: id}
	}
	return View{Job: job}, err
}

// Change updates a job's row by compare-and-swap. It calls change with the current
// job and writes the result if change returns true. On a conflict it reads the row
// and calls change again; after maxChangeAttempts it returns the
// store.ConflictError.
func (b *Book) Change(ctx context.Context, id string, change func(*wire.Job) bool) error {
	ctx, cancel := b.withCallTimeout(ctx)
	defer cancel()
	var err error
	for range maxChangeAttempts {
		job, version, readErr := b.readVersioned(ctx, id)
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

func (b *Book) withCallTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	t := b.clock.After(callTimeout, cancel)
	return ctx, func() { t.Stop(); cancel() }
}
