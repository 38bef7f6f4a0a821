package bench

import (
	"strconv"
	"strings"
	"time"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

const (
	workerCPU   = int64(32000)
	rackWorkers = 6

	decideInterval  = 5 * time.Millisecond   // between two scheduling passes, if anything changed
	reportInterval  = 2 * time.Second        // between two reports of usage
	startDelay      = 3 * time.Millisecond   // from decision to start
	checkpointDelay = 300 * time.Millisecond // duration of a checkpoint
	startsPerUnsent = 1000                   // one of this many starts isn't sent
)

// taskKey identifies a task.
type taskKey struct {
	id     string
	number int
}

// job is the driver's state of a request.
type job struct {
	arrival
	team         int
	waitingSince []time.Time // by task
	remaining    []time.Duration
}

// allocation is a task that holds capacity of a host.
type allocation struct {
	job     *job
	number  int
	host    *host
	needs   wire.Needs
	since   time.Time
	end     *timer.Timer
	started bool
	metered bool
}

// host is the state of an endpoint.
type host struct {
	name     string
	capacity wire.Needs
	reserved wire.Needs
	used     wire.Needs
	broken   bool
}

// driver submits the arrivals of a load to an engine and simulates the tasks
// that the engine starts.
type driver struct {
	load        Load
	clock       *timer.Service
	wallClock   *timer.Service
	engine      Engine
	result      *Result
	hosts       map[string]*host
	jobs        map[string]*job
	allocations map[taskKey]*allocation
	changed     bool
	starts      int
	usage       teamUsage
}

// Run runs a load with an engine, which must read the time from clock. weights
// are the teams' weights; name is the engine's name in the result.
func Run(load Load, name string, engine Engine, clock *timer.Service, weights []float64) *Result {
	d := &driver{
		load: load, clock: clock, wallClock: timer.New(), engine: engine,
		result: newResult(load.Name, name),
		hosts:  make(map[string]*host), jobs: make(map[string]*job), allocations: make(map[taskKey]*allocation),
	}
	d.build()
	d.usage.init(weights, d.capacity())
	d.schedule(load.arrivals())
	clock.Every(decideInterval, d.decide)
	clock.Every(reportInterval, d.report)
	clock.Every(sampleEvery, d.sample)
	clock.Advance(load.Length)
	d.result.waitingAtEnd = d.usage.waiting
	return d.result
}

func (d *driver) build() {
	for i := range d.load.Executors {
		d.join(point.Executor, "x", i, wire.Needs{Slots: 8, Conns: 60})
	}
	accels := d.load.Accels
	for i := range d.load.Workers {
		c := wire.Needs{CPU: workerCPU, Mem: 128 * gib}
		if accels > 0 {
			c.Accel = min(int64(accels), 8)
			accels -= int(c.Accel)
		}
		d.join(point.Worker, "w", i, c)
	}
	for i := range d.load.Broken {
		d.hosts["w"+strconv.Itoa(i*rackWorkers)].broken = true
	}
}

func (d *driver) join(k point.Kind, prefix string, i int, c wire.Needs) {
	h := &host{name: prefix + strconv.Itoa(i), capacity: c}
	d.hosts[h.name] = h
	zone := strconv.Itoa(i / rackWorkers % max(d.load.Zones, 1))
	d.engine.Join(sched.Endpoint{
		Name: h.name, Kind: k, Zone: zone, Rack: prefix + strconv.Itoa(i/rackWorkers), Capacity: c,
	})
}

func (d *driver) capacity() wire.Needs {
	var sum wire.Needs
	for _, h := range d.hosts {
		if h.capacity.CPU > 0 {
			sum = sum.Add(h.capacity)
		}
	}
	return sum
}

func (d *driver) schedule(list []arrival) {
	for i := range list {
		a := list[i]
		d.clock.After(a.at, func() { d.submit(a) })
	}
	if d.load.Cancels > 0 {
		d.clock.After(d.load.Length/2, func() { d.cancel(list) })
	}
}

func (d *driver) submit(a arrival) {
	team, _ := strconv.Atoi(strings.TrimPrefix(a.item.Team, "team"))
	j := &job{arrival: a, team: team, remaining: a.runTimes}
	if d.engine.Submit(a.item) != nil {
		return
	}
	d.jobs[a.item.ID] = j
	for range a.runTimes {
		j.waitingSince = append(j.waitingSince, d.clock.Now())
	}
	d.usage.addWaiting(j, len(a.runTimes))
	d.changed = true
}

// cancel cancels the requests of the cancellation wave that still wait.
func (d *driver) cancel(list []arrival) {
	begin := d.wallClock.Now()
	var gone []*job
	for i := range list {
		if list[i].item.Name == waveJobName && d.engine.Cancel(list[i].item.ID) {
			gone = append(gone, d.jobs[list[i].item.ID])
		}
	}
	d.result.waveCancelTime = d.wallClock.Now().Sub(begin)
	for _, j := range gone {
		d.usage.addWaiting(j, -1)
	}
	d.changed = true
}

func (d *driver) decide() {
	if !d.changed {
		return
	}
	d.changed = false
	begin := d.wallClock.Now()
	decisions := d.engine.Decide()
	took := d.wallClock.Now().Sub(begin)
	if len(decisions) > 0 {
		_ = d.result.decideTimes.RecordValue(max(int64(took), 1))
	}
	d.checkGangs(decisions)
	for _, c := range decisions {
		if c.Preempt {
			d.preempt(c)
			continue
		}
		d.start(c)
	}
}

// checkGangs counts gangs of which only a part was started.
func (d *driver) checkGangs(decisions []sched.Decision) {
	gangs := make(map[string]int)
	for _, c := range decisions {
		if c.Kind == wire.Gang && !c.Preempt {
			gangs[c.ID]++
		}
	}
	for id, n := range gangs {
		if n != len(d.jobs[id].runTimes) {
			d.result.gangsSplit++
		}
	}
}

// usageReceiver is an Engine that learns from the actual usage of tasks.
type usageReceiver interface {
	Used(id string, task int, used wire.Needs)
}

func (d *driver) report() {
	if m, ok := d.engine.(usageReceiver); ok {
		for k, l := range d.allocations {
			if l.started && l.job.item.Kind != wire.Quick && !l.metered {
				l.metered = true
				m.Used(k.id, k.number, actualNeeds(l.job, l.needs))
			}
		}
	}
	for _, h := range d.hosts {
		d.engine.Report(h.name, h.used)
	}
	d.changed = true
}
