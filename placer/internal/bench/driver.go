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

	tick       = 5 * time.Millisecond   // between two Decides, if anything changed
	reportLag  = 2 * time.Second        // between two reports of usage
	startDelay = 3 * time.Millisecond   // from decision to start
	saveDelay  = 300 * time.Millisecond // from the word to checkpoint to its end
	unsentRate = 1000                   // one start in so many doesn't leave
)

// taskKey names a task.
type taskKey struct {
	id     string
	number int
}

// job is a request as the driver knows it.
type job struct {
	arrival
	team  int
	began []time.Time // per task: when it began to wait
	left  []time.Duration
}

// live is a task that holds room.
type live struct {
	job     *job
	number  int
	host    *host
	needs   wire.Needs
	since   time.Time
	end     *timer.Timer
	started bool
	metered bool
}

// host is an endpoint's own books.
type host struct {
	name     string
	capacity wire.Needs
	given    wire.Needs
	used     wire.Needs
	broken   bool
}

// driver feeds an engine.
type driver struct {
	load   Load
	clock  *timer.Service
	wall   *timer.Service
	engine Engine
	result *Result
	hosts  map[string]*host
	jobs   map[string]*job
	lives  map[taskKey]*live
	dirty  bool
	starts int
	teams  books
}

// Run drives an engine, which must read the time from clock, through a load.
func Run(load Load, name string, engine Engine, clock *timer.Service, weights []float64) *Result {
	d := &driver{
		load: load, clock: clock, wall: timer.New(), engine: engine,
		result: newResult(load.Name, name),
		hosts:  make(map[string]*host), jobs: make(map[string]*job), lives: make(map[taskKey]*live),
	}
	d.build()
	d.teams.open(weights, d.capacity())
	d.schedule(load.arrivals())
	clock.Every(tick, d.decide)
	clock.Every(reportLag, d.report)
	clock.Every(sampleEvery, d.sample)
	clock.Advance(load.Length)
	d.result.last = d.teams.waiting
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
	j := &job{arrival: a, team: team, left: a.runs}
	if d.engine.Submit(a.item) != nil {
		return
	}
	d.jobs[a.item.ID] = j
	for range a.runs {
		j.began = append(j.began, d.clock.Now())
	}
	d.teams.wait(j, len(a.runs))
	d.dirty = true
}

// cancel drops all that is left of the wave.
func (d *driver) cancel(list []arrival) {
	begin := d.wall.Now()
	var gone []*job
	for i := range list {
		if list[i].item.Name == waveName && d.engine.Cancel(list[i].item.ID) {
			gone = append(gone, d.jobs[list[i].item.ID])
		}
	}
	d.result.wave = d.wall.Now().Sub(begin)
	for _, j := range gone {
		d.teams.wait(j, -1)
	}
	d.dirty = true
}

func (d *driver) decide() {
	if !d.dirty {
		return
	}
	d.dirty = false
	begin := d.wall.Now()
	decisions := d.engine.Decide()
	took := d.wall.Now().Sub(begin)
	if len(decisions) > 0 {
		_ = d.result.decides.RecordValue(max(int64(took), 1))
	}
	d.check(decisions)
	for _, c := range decisions {
		if c.Preempt {
			d.preempt(c)
			continue
		}
		d.start(c)
	}
}

// check counts gangs that were decided in part.
func (d *driver) check(decisions []sched.Decision) {
	gangs := make(map[string]int)
	for _, c := range decisions {
		if c.Kind == wire.Gang && !c.Preempt {
			gangs[c.ID]++
		}
	}
	for id, n := range gangs {
		if n != len(d.jobs[id].runs) {
			d.result.gangsSplit++
		}
	}
}

// meter is an Engine that learns what tasks use.
type meter interface {
	Used(id string, task int, used wire.Needs)
}

func (d *driver) report() {
	if m, ok := d.engine.(meter); ok {
		for k, l := range d.lives {
			if l.started && l.job.item.Kind != wire.Quick && !l.metered {
				l.metered = true
				m.Used(k.id, k.number, real(l.job, l.needs))
			}
		}
	}
	for _, h := range d.hosts {
		d.engine.Report(h.name, h.used)
	}
	d.dirty = true
}
