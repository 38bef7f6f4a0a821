package daemon

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/setup"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
)

// checkLog checks the endpoints' log: no task runs in two places at the same
// time, no endpoint is over its capacity, and no task starts at an endpoint that
// has been leaving for more than 2 s.
func (z *zone) checkLog() {
	z.t.Helper()
	running := make(map[string]string)
	left := make(map[string]time.Time)
	for _, e := range z.log.Events() {
		switch e.Event {
		case engine.Began:
			if at, ok := running[e.Task]; ok {
				z.t.Errorf("%s started at %s while it ran at %s", e.Task, e.Endpoint, at)
			}
			running[e.Task] = e.Endpoint
			if at, ok := left[e.Endpoint]; ok && e.Time.Sub(at) > 2*time.Second {
				z.t.Errorf("%s started at %s, which had been leaving for %v", e.Task, e.Endpoint, e.Time.Sub(at))
			}
		case engine.Ended, engine.Lapse:
			delete(running, e.Task)
		case engine.OverCapacity:
			z.t.Errorf("%s is over its capacity: %+v", e.Endpoint, e)
		case engine.Leave:
			delete(left, e.Endpoint)
			if e.Reason == "on" {
				left[e.Endpoint] = e.Time
			}
		default:
		}
	}
}

// count returns the number of events of a kind for the tasks of a request.
func (z *zone) count(kind engine.Kind, id string) int {
	n := 0
	for _, e := range z.log.Events() {
		if e.Event == kind && (e.Task == id || len(e.Task) > len(id) && e.Task[:len(id)+1] == id+"/") {
			n++
		}
	}
	return n
}

func (z *zone) runningTasks() int {
	n := 0
	for _, e := range z.engines {
		n += e.Running()
	}
	return n
}

// addWorkers adds n workers, two per rack.
func (z *zone) addWorkers(n int) {
	for i := range n {
		z.addEndpoint(fmt.Sprintf("w%d", i), point.Worker, fmt.Sprintf("r%d", i/2), cores(32))
	}
}

// submitJob writes a job's row and sends the job to a placer. The returned group
// ends when the placer's stream ends.
func (z *zone) submitJob(p *runningPlacer, req *wire.Request) *errgroup.Group {
	z.writeJob(req)
	g := new(errgroup.Group)
	g.Go(func() error { return z.sendRequest(p, req).err })
	return g
}

// driverOf returns the index of the placer that the job's row names as driver,
// or -1 if there is none.
func (z *zone) driverOf(id string) int {
	for i, p := range z.placers {
		if z.jobRow(id).Driver == p.settings.Host {
			return i
		}
	}
	return -1
}

func TestKilledPlacerIsTakenOver(t *testing.T) {
	tests := map[string]struct{ down bool }{
		"platform answers": {},
		"platform is down": {down: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			z := newZone(t, 3)
			z.addWorkers(8)
			z.addEndpoint("e0", point.Executor, "", slots(8))
			for i := range 3 {
				z.start(i)
			}
			z.eventually("all endpoints are owned", z.owned(9))
			z.eventually("all live", func() bool { return len(z.placers[0].members.Names()) == 3 })
			z.submitJob(z.placers[0], jobRequest("a.svc", wire.Service, 6, engine.Body{}))
			z.eventually("the service runs", func() bool { return z.runningTasks() == 6 && z.jobRow("a.svc").Phase == wire.Running })
			dead := z.driverOf("a.svc")
			z.memory.SetFaults(store.Faults{Down: tt.down})
			z.placers[dead].kill()
			is.NoErr(<-z.placers[dead].done)
			began := time.Now()
			z.eventually("its endpoints are taken over", func() bool {
				sum := 0
				for i, p := range z.placers {
					if i != dead {
						_, n := p.keeper.Count()
						sum += n
					}
				}
				return sum == 9
			})
			t.Logf("taken over after %v (term 1.5 s)", time.Since(began))
			r := z.sendRequest(z.placers[(dead+1)%3], quickRequest("a.q", engine.Body{Size: 10}))
			if r.final.Outcome != wire.Done {
				r = z.sendRequest(z.placers[(dead+2)%3], quickRequest("a.q", engine.Body{Size: 10}))
			}
			is.Equal(r.final.Outcome, wire.Done)
			z.memory.SetFaults(store.Faults{})
			z.eventually("the job has another driver", func() bool { return z.driverOf("a.svc") >= 0 && z.driverOf("a.svc") != dead })
			is.Equal(z.runningTasks(), 6)
			is.Equal(z.count(engine.Began, "a.svc"), 6) // no task was started twice
			z.checkLog()
		})
	}
}

func TestPlannedStopHandsEverythingOver(t *testing.T) {
	is := is.New(t)
	z := newZone(t, 2)
	z.addWorkers(4)
	z.addEndpoint("e0", point.Executor, "", slots(8))
	z.addEndpoint("e1", point.Executor, "", slots(8))
	z.start(0)
	z.start(1)
	z.eventually("all endpoints are owned", z.owned(6))
	z.eventually("both live", func() bool { return len(z.placers[1].members.Names()) == 2 })
	z.submitJob(z.placers[0], jobRequest("a.svc", wire.Service, 4, engine.Body{}))
	z.eventually("the service runs", func() bool { return z.runningTasks() == 4 && z.jobRow("a.svc").Phase == wire.Running })
	leaver := z.driverOf("a.svc")
	long := new(errgroup.Group)
	var r result
	var answered atomic.Bool
	long.Go(func() error {
		defer answered.Store(true)
		r = z.sendRequest(z.placers[leaver], quickRequest("a.long", engine.Body{Size: 1000, Work: setup.Duration(700 * time.Millisecond)}))
		return nil
	})
	z.eventually("a quick request runs or was refused", func() bool { return z.runningTasks() == 5 || answered.Load() })
	z.placers[leaver].stop()
	is.NoErr(<-z.placers[leaver].done)
	is.NoErr(long.Wait())
	if _, owned := z.placers[leaver].keeper.Count(); owned != 0 {
		t.Errorf("it still owns %d endpoints", owned)
	}
	if r.final.Reason != wire.ReasonBusy { // the placer may own no executor
		is.Equal(r.final.Outcome, wire.Done)
	}
	z.eventually("the job has another driver", func() bool { return z.driverOf("a.svc") == 1-leaver })
	z.eventually("the other owns all", func() bool { _, n := z.placers[1-leaver].keeper.Count(); return n == 6 })
	is.Equal(z.count(engine.Lapse, "a.svc"), 0)
	is.Equal(z.count(engine.Began, "a.svc"), 4)
	is.Equal(z.runningTasks(), 4)
	z.checkLog()
}

func TestFaultsOfStarts(t *testing.T) {
	tests := map[string]struct {
		faults  engine.Faults // of the first worker, before the job is offered
		heal    bool          // the fault ends while the job waits
		once    bool
		outcome wire.Outcome
		starts  int // at least
	}{
		"answer of the start is lost":                {faults: engine.Faults{Next: 2}, outcome: wire.Done, starts: 1},
		"answer of a start that runs once is lost":   {faults: engine.Faults{Next: 2}, once: true, outcome: wire.Done, starts: 1},
		"worker is down for a while":                 {faults: engine.Faults{Down: true}, heal: true, outcome: wire.Done, starts: 1},
		"worker fails everything, restart elsewhere": {faults: engine.Faults{Fail: true}, outcome: wire.Done, starts: 1},
		"worker is leaving":                          {faults: engine.Faults{Leaving: true}, outcome: wire.Done, starts: 1},
		"worker is frozen for a while":               {faults: engine.Faults{Freeze: true}, heal: true, once: true, outcome: wire.Done, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			z := newZone(t, 1)
			z.addWorkers(2)
			p := z.start(0)
			z.eventually("all endpoints are owned", z.owned(2))
			z.engines["w0"].SetFaults(tt.faults)
			req := jobRequest("a.job", wire.Batch, 40, engine.Body{Work: setup.Duration(50 * time.Millisecond), Once: tt.once})
			req.Idempotent = !tt.once
			stream := z.submitJob(p, req)
			if tt.heal {
				z.eventually("some tasks have run", func() bool { return z.count(engine.Ended, "a.job") > 0 })
				z.engines["w0"].SetFaults(engine.Faults{})
			}
			is.NoErr(stream.Wait())
			z.eventually("the end is written", func() bool { return z.jobRow("a.job").Outcome != "" })
			is.Equal(z.jobRow("a.job").Outcome, tt.outcome)
			is.True(z.count(engine.Began, "a.job") >= 40*tt.starts)
			if tt.once {
				is.Equal(z.count(engine.Began, "a.job"), 40)
			}
			z.checkLog()
		})
	}
}

// When a worker dies, its idempotent tasks run elsewhere after their leases have
// expired. The outcome of the others is unknown.
func TestDeadWorker(t *testing.T) {
	tests := map[string]struct {
		once    bool
		outcome wire.Outcome
	}{
		"repeatable": {outcome: wire.Done},
		"once":       {once: true, outcome: wire.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			z := newZone(t, 2)
			z.addWorkers(4)
			z.start(0)
			z.start(1)
			z.eventually("all endpoints are owned", z.owned(4))
			req := jobRequest("a.job", wire.Batch, 4, engine.Body{Work: setup.Duration(2 * time.Second), Once: tt.once})
			req.Idempotent = !tt.once
			z.submitJob(z.placers[0], req)
			z.eventually("tasks run", func() bool { return z.runningTasks() == 4 && z.jobRow("a.job").Phase == wire.Running })
			for name, e := range z.engines {
				if e.Running() > 0 {
					z.engines[name].SetFaults(engine.Faults{Down: true, Freeze: true})
					break
				}
			}
			z.eventually("the end is written", func() bool { return z.jobRow("a.job").Outcome != "" })
			is.Equal(z.jobRow("a.job").Outcome, tt.outcome)
			z.checkLog()
		})
	}
}

// The ownership of an endpoint without fencing is a term in the platform's
// table. While the platform is down, the owner renews it by promises of the
// other placers.
func TestEndpointWithoutFence(t *testing.T) {
	is := is.New(t)
	z := newZone(t, 2)
	e := z.addEndpoint("w0", point.Worker, "r0", cores(32), engine.WithFence(point.FenceClock))
	z.start(0)
	z.start(1)
	z.eventually("it is owned", z.owned(1))
	run := func(id string) wire.Outcome {
		req := jobRequest(id, wire.Batch, 1, engine.Body{})
		z.submitJob(z.placers[0], req)
		z.eventually("the end is written", func() bool { return z.jobRow(id).Outcome != "" })
		return z.jobRow(id).Outcome
	}
	is.Equal(run("a.first"), wire.Done)
	z.memory.SetFaults(store.Faults{Down: true})
	time.Sleep(4 * time.Second) // more than two terms
	is.True(z.owned(1)())
	z.memory.SetFaults(store.Faults{})
	owner := 0
	if _, n := z.placers[1].keeper.Count(); n == 1 {
		owner = 1
	}
	view, err := e.View(z.ctx)
	is.NoErr(err)
	pass, err := z.placers[owner].keeper.Enter("w0", view.Owner.Epoch)
	is.NoErr(err) // its term is valid
	pass.Done()
	z.placers[owner].kill()
	is.NoErr(<-z.placers[owner].done)
	z.eventually("the other takes it", func() bool { _, n := z.placers[1-owner].keeper.Count(); return n == 1 })
	z.checkLog()
}

// newPair starts two placers and waits until they know each other and own the
// given number of workers.
func newPair(t *testing.T, workers int) *zone {
	t.Helper()
	z := newZone(t, 2)
	z.addWorkers(workers)
	z.start(0)
	z.start(1)
	z.eventually("all endpoints are owned", z.owned(workers))
	z.eventually("both live", func() bool { return len(z.placers[0].members.Names()) == 2 })
	return z
}

// A placer that is killed and restarted under the same name must continue its
// jobs. No other placer would, because their driver is alive again.
func TestRestartedDriverGoesOn(t *testing.T) {
	is := is.New(t)
	z := newPair(t, 4)
	z.submitJob(z.placers[0], jobRequest("a.job", wire.Batch, 4, engine.Body{Work: setup.Duration(2 * time.Second)}))
	z.eventually("it runs", func() bool { return z.runningTasks() == 4 && z.jobRow("a.job").Phase == wire.Running })
	i := z.driverOf("a.job")
	z.placers[i].kill()
	is.NoErr(<-z.placers[i].done)
	again := z.start(i)
	z.placers[i], z.placers[2] = again, z.placers[i]
	z.placers = z.placers[:2]
	z.eventually("the end is written", func() bool { return z.jobRow("a.job").Outcome == wire.Done })
	is.Equal(z.count(engine.Began, "a.job"), 4)
	z.checkLog()
}

// Jobs that are submitted while every worker is suspended must run after the
// workers have resumed.
func TestJobsOutlastSuspendedWorkers(t *testing.T) {
	is := is.New(t)
	z := newPair(t, 4)
	for _, e := range z.engines {
		e.SetFaults(engine.Faults{Freeze: true})
	}
	for i := range 20 {
		req := jobRequest(fmt.Sprintf("a.%d", i), wire.Batch, 3, engine.Body{})
		if i%4 == 0 {
			req.Kind = wire.Gang
		}
		z.submitJob(z.placers[i%2], req)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(4 * time.Second) // leases expire
	for _, e := range z.engines {
		e.SetFaults(engine.Faults{})
	}
	for i := range 20 {
		id := fmt.Sprintf("a.%d", i)
		z.eventually(id+" is done", func() bool { return z.jobRow(id).Outcome == wire.Done })
	}
	is.True(z.count(engine.Began, "a.0") >= 3)
	z.checkLog()
}

// The platform executes the writes by which a placer becomes the driver, but
// loses their answers: the rows name a placer that doesn't know of the jobs.
func TestDriverWhoseWritesWereLost(t *testing.T) {
	is := is.New(t)
	z := newPair(t, 4)
	time.Sleep(4 * time.Second) // the scans that follow a change of members are over
	for i := range 2 {
		z.writeJob(jobRequest(fmt.Sprintf("a.%d", i), wire.Batch, 1, engine.Body{}))
	}
	z.memory.SetFaults(store.Faults{Lose: true})
	for i := range 2 {
		r := z.sendRequest(z.placers[i], jobRequest(fmt.Sprintf("a.%d", i), wire.Batch, 1, engine.Body{}))
		is.True(r.err != nil) // the placer doesn't know that it is the driver
	}
	z.memory.SetFaults(store.Faults{})
	for i := range 2 {
		id := fmt.Sprintf("a.%d", i)
		z.eventually(id+" is done", func() bool { return z.jobRow(id).Outcome == wire.Done })
	}
	z.checkLog()
}
