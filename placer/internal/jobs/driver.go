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
	// retryDelay is the wait before a failed operation is tried again.
	retryDelay = 500 * time.Millisecond
	// maxFailures is the number of failed attempts after which an idempotent
	// task is not restarted. Services have no such limit.
	maxFailures = 3
)

// Driver drives the jobs whose rows name this placer: it queues their tasks,
// starts them, records their ends and restarts them. All methods may be called
// concurrently.
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
	group        errgroup.Group // goroutines started by spawn
	wakeWriter   chan struct{}  // signals unsaved jobs to writeLoop
	needScan     atomic.Bool    // rows may name this placer as driver although it doesn't drive the job
	reservations *reservations
	gangLock     *gangLock
	foreignJobs  *foreignJobs

	mu          sync.Mutex // guards the fields below
	ctx         context.Context
	jobs        map[string]*job
	unsaved     map[*job]bool      // jobs with changes to be written
	unclaimed   map[string]*notice // ended tasks whose driver has not confirmed the end, by task and endpoint
	offloads    map[offloadKey]*offload
	polled      map[string]bool    // placers with a running pollLoop
	backlogs    map[string]backlog // by placer
	taskDrivers map[string]string  // placers that drive tasks started here for them, by task id
}

// counts holds the driver's metrics.
type counts struct {
	starts, restarts, takeovers, writes, conflicts, deleted, gangs, offloaded metrics.Counter
	driven                                                                    metrics.Gauge
}

// Parts are the dependencies and settings of a Driver.
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
	History time.Duration // how long ended jobs are kept; 0 keeps them for ever
	// Promise reports whether this placer promises another one not to take over
	// the endpoint's term for length from now on.
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

// Run runs the driver's loops until ctx ends and all their work has returned: it
// writes rows, takes over jobs without a driver, resolves tasks in doubt and
// deletes expired jobs.
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

// spawn runs f in a goroutine that Run waits for. It does nothing before Run is
// called or after its context has ended.
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

// removeJob removes a job that has ended or has another driver.
func (d *Driver) removeJob(j *job) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.jobs[j.id()] == j {
		delete(d.jobs, j.id())
	}
	delete(d.unsaved, j)
	d.counts.driven.Update(int64(len(d.jobs)))
}

// queueWrite schedules a write of the job's changes.
func (d *Driver) queueWrite(j *job) {
	d.mu.Lock()
	d.unsaved[j] = true
	d.mu.Unlock()
	select {
	case d.wakeWriter <- struct{}{}:
	default:
	}
}
