package jobs

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/timer"
)

const (
	// callTimeout bounds one call to the platform, a worker or a placer.
	callTimeout = 2 * time.Second
	// pause is the wait before something that failed is tried again.
	retryDelay = 500 * time.Millisecond
	// maxFails is how many attempts of an idempotent task may fail.
	maxFailures = 3
)

// Driver drives the jobs whose rows name this placer. All methods may be
// called concurrently.
type Driver struct {
	name         string
	zone         string
	timer        *timer.Service
	table        Table
	queue        Queue
	owner        Owner
	client       Client
	members      Members
	caller       Caller
	log          *zap.Logger
	promise      func(endpoint string, length time.Duration) bool
	history      time.Duration // how long ended jobs are kept
	counts       counts
	group        errgroup.Group
	wakeWriter   chan struct{}
	needScan     atomic.Bool // rows may name this placer that it doesn't drive
	reservations *reservations
	gangLock     *gangLock
	foreignJobs  *foreignJobs

	mu          sync.Mutex // guards the fields below
	ctx         context.Context
	jobs        map[string]*job
	unsaved     map[*job]bool // with changes that the platform lacks
	unclaimed   map[string]*notice
	offloads    map[offloadKey]*offload
	polled      map[string]bool    // placers that are asked for room
	backlogs    map[string]backlog // by placer
	taskDrivers map[string]string  // who drives a task started here for another driver, by its name
}

// counts are the driver's metrics.
type counts struct {
	starts, restarts, takeovers, writes, conflicts, deleted, gangs, offloaded metrics.Counter
	driven                                                                    metrics.Gauge
}

// Parts are what a Driver works with.
type Parts struct {
	Timer   *timer.Service
	Table   Table
	Queue   Queue
	Owner   Owner
	Client  Client
	Members Members
	Caller  Caller
	Log     *zap.Logger
	Metrics metrics.Registry
	History time.Duration // how long ended jobs are kept; 0 stands for ever
	// Promise answers another placer that asks not to take an endpoint's term.
	Promise func(endpoint string, length time.Duration) bool
}

// New returns a Driver for the placer called name in zone.
func New(name, zone string, p Parts) *Driver {
	return &Driver{
		name: name, zone: zone, timer: p.Timer, table: p.Table, queue: p.Queue, owner: p.Owner,
		client: p.Client, members: p.Members, caller: p.Caller, log: p.Log, promise: p.Promise, history: p.History,
		counts: counts{
			starts:    metrics.GetOrRegisterCounter("placer.job.starts", p.Metrics),
			restarts:  metrics.GetOrRegisterCounter("placer.job.restarts", p.Metrics),
			takeovers: metrics.GetOrRegisterCounter("placer.job.takeovers", p.Metrics),
			writes:    metrics.GetOrRegisterCounter("placer.job.writes", p.Metrics),
			conflicts: metrics.GetOrRegisterCounter("placer.job.conflicts", p.Metrics),
			deleted:   metrics.GetOrRegisterCounter("placer.job.deleted", p.Metrics),
			offloaded: metrics.GetOrRegisterCounter("placer.job.lent", p.Metrics),
			gangs:     metrics.GetOrRegisterCounter("placer.job.gangs", p.Metrics),
			driven:    metrics.GetOrRegisterGauge("placer.job.driven", p.Metrics),
		},
		reservations: newReservations(p.Timer, p.Queue), gangLock: newGangLock(p.Timer), foreignJobs: newForeignJobs(p.Timer, p.Queue),
		offloads: make(map[offloadKey]*offload), polled: make(map[string]bool), backlogs: make(map[string]backlog), taskDrivers: make(map[string]string),
		wakeWriter: make(chan struct{}, 1), jobs: make(map[string]*job), unsaved: make(map[*job]bool), unclaimed: make(map[string]*notice),
	}
}

// Run writes rows, looks for jobs without a driver and settles doubts until
// ctx ends.
func (d *Driver) Run(ctx context.Context) error {
	d.mu.Lock()
	d.ctx = ctx
	d.mu.Unlock()
	var g errgroup.Group
	g.Go(func() error { d.writeLoop(ctx); return nil })
	g.Go(func() error { d.scanLoop(ctx); return nil })
	g.Go(func() error { d.doubtLoop(ctx); return nil })
	g.Go(func() error { d.noticeLoop(ctx); return nil })
	g.Go(func() error { d.strandLoop(ctx); return nil })
	g.Go(func() error { d.sweepLoop(ctx); return nil })
	g.Go(func() error { d.reservations.run(ctx); return nil })
	g.Go(func() error { d.foreignJobs.run(ctx); return nil })
	_ = g.Wait()
	return d.group.Wait()
}

// spawn runs f beside the caller until it returns. Nothing is run after the
// driver has stopped.
func (d *Driver) spawn(f func(ctx context.Context)) {
	d.mu.Lock()
	ctx := d.ctx
	d.mu.Unlock()
	if ctx == nil || ctx.Err() != nil {
		return
	}
	d.group.Go(func() error { f(ctx); return nil })
}

func (d *Driver) find(id string) *job {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.jobs[id]
}

func (d *Driver) allJobs() []*job {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*job, 0, len(d.jobs))
	for _, j := range d.jobs {
		out = append(out, j)
	}
	return out
}

// forget drops a job that has ended or has another driver.
func (d *Driver) removeJob(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.jobs[j.id()] == j {
		delete(d.jobs, j.id())
	}
	delete(d.unsaved, j)
	d.counts.driven.Update(int64(len(d.jobs)))
}

// save asks for a job's changes to be written.
func (d *Driver) queueWrite(j *job) {
	d.mu.Lock()
	d.unsaved[j] = true
	d.mu.Unlock()
	select {
	case d.wakeWriter <- struct{}{}:
	default:
	}
}
