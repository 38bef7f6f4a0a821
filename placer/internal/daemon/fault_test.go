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

// judge checks the endpoints' log: no task runs in two places at once, no
// endpoint has more than it has, and nothing starts where it is leaving.
func (z *zone) judge() {
	z.t.Helper()
	running := make(map[string]string)
	left := make(map[string]time.Time)
	for _, e := range z.log.Events() {
		switch e.Event {
		case engine.Began:
			if at, ok := running[e.Task]; ok {
				z.t.Errorf("%s starts at %s while it runs at %s", e.Task, e.Endpoint, at)
			}
			running[e.Task] = e.Endpoint
			if at, ok := left[e.Endpoint]; ok && e.Time.Sub(at) > 2*time.Second {
				z.t.Errorf("%s starts at %s, which has been leaving for %v", e.Task, e.Endpoint, e.Time.Sub(at))
			}
		case engine.Ended, engine.Lapse:
			delete(running, e.Task)
		case engine.OverCapacity:
			z.t.Errorf("%s has more than it has: %+v", e.Endpoint, e)
		case engine.Leave:
			delete(left, e.Endpoint)
			if e.Reason == "on" {
				left[e.Endpoint] = e.Time
			}
		default:
		}
	}
}

// count returns how many events of a kind tell of the request's tasks.
func (z *zone) count(kind engine.Kind, id string) int {
	n := 0
	for _, e := range z.log.Events() {
		if e.Event == kind && (e.Task == id || len(e.Task) > len(id) && e.Task[:len(id)+1] == id+"/") {
			n++
		}
	}
	return n
}

func (z *zone) runningAll() int {
	n := 0
	for _, e := range z.engines {
		n += e.Running()
	}
	return n
}

// workers adds so many workers, two to a rack.
func (z *zone) workers(n int) {
	for i := range n {
		z.endpoint(fmt.Sprintf("w%d", i), point.Worker, fmt.Sprintf("r%d", i/2), cores(32))
	}
}

// submit accepts a job and offers it to a placer; the returned group ends when
// the placer's stream does.
func (z *zone) submit(p *running, req *wire.Request) *errgroup.Group {
	z.accept(req)
	g := new(errgroup.Group)
	g.Go(func() error { return z.place(p, req).err })
	return g
}

// driver returns the index of the placer that the job's row names.
func (z *zone) driver(id string) int {
	for i, p := range z.placers {
		if z.row(id).Driver == p.settings.Host {
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
			z.workers(8)
			z.endpoint("e0", point.Executor, "", slots(8))
			for i := range 3 {
				z.start(i)
			}
			z.eventually("all endpoints are owned", z.owned(9))
			z.eventually("all live", func() bool { return len(z.placers[0].members.Names()) == 3 })
			z.submit(z.placers[0], jobRequest("a.svc", wire.Service, 6, engine.Body{}))
			z.eventually("the service runs", func() bool { return z.runningAll() == 6 && z.row("a.svc").Phase == wire.Running })
			dead := z.driver("a.svc")
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
			r := z.place(z.placers[(dead+1)%3], quickRequest("a.q", engine.Body{Size: 10}))
			if r.final.Outcome != wire.Done {
				r = z.place(z.placers[(dead+2)%3], quickRequest("a.q", engine.Body{Size: 10}))
			}
			is.Equal(r.final.Outcome, wire.Done)
			z.memory.SetFaults(store.Faults{})
			z.eventually("the job has another driver", func() bool { return z.driver("a.svc") >= 0 && z.driver("a.svc") != dead })
			is.Equal(z.runningAll(), 6)
			is.Equal(z.count(engine.Began, "a.svc"), 6) // nothing was started twice
			z.judge()
		})
	}
}

func TestPlannedStopHandsEverythingOver(t *testing.T) {
	is := is.New(t)
	z := newZone(t, 2)
	z.workers(4)
	z.endpoint("e0", point.Executor, "", slots(8))
	z.endpoint("e1", point.Executor, "", slots(8))
	z.start(0)
	z.start(1)
	z.eventually("all endpoints are owned", z.owned(6))
	z.eventually("both live", func() bool { return len(z.placers[1].members.Names()) == 2 })
	z.submit(z.placers[0], jobRequest("a.svc", wire.Service, 4, engine.Body{}))
	z.eventually("the service runs", func() bool { return z.runningAll() == 4 && z.row("a.svc").Phase == wire.Running })
	leaver := z.driver("a.svc")
	long := new(errgroup.Group)
	var r result
	var answered atomic.Bool
	long.Go(func() error {
		defer answered.Store(true)
		r = z.place(z.placers[leaver], quickRequest("a.long", engine.Body{Size: 1000, Work: setup.Duration(700 * time.Millisecond)}))
		return nil
	})
	z.eventually("a quick request runs or was refused", func() bool { return z.runningAll() == 5 || answered.Load() })
	z.placers[leaver].stop()
	is.NoErr(<-z.placers[leaver].done)
	is.NoErr(long.Wait())
	if _, owned := z.placers[leaver].keeper.Count(); owned != 0 {
		t.Errorf("it still owns %d endpoints", owned)
	}
	if r.final.Reason != wire.ReasonBusy { // it may own no executor
		is.Equal(r.final.Outcome, wire.Done)
	}
	z.eventually("the job has another driver", func() bool { return z.driver("a.svc") == 1-leaver })
	z.eventually("the other owns all", func() bool { _, n := z.placers[1-leaver].keeper.Count(); return n == 6 })
	is.Equal(z.count(engine.Lapse, "a.svc"), 0)
	is.Equal(z.count(engine.Began, "a.svc"), 4)
	is.Equal(z.runningAll(), 4)
	z.judge()
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
			z.workers(2)
			p := z.start(0)
			z.eventually("all endpoints are owned", z.owned(2))
			z.engines["w0"].SetFaults(tt.faults)
			req := jobRequest("a.job", wire.Batch, 40, engine.Body{Work: setup.Duration(50 * time.Millisecond), Once: tt.once})
			req.Idempotent = !tt.once
			stream := z.submit(p, req)
			if tt.heal {
				z.eventually("some tasks have run", func() bool { return z.count(engine.Ended, "a.job") > 0 })
				z.engines["w0"].SetFaults(engine.Faults{})
			}
			is.NoErr(stream.Wait())
			z.eventually("the end is written", func() bool { return z.row("a.job").Outcome != "" })
			is.Equal(z.row("a.job").Outcome, tt.outcome)
			is.True(z.count(engine.Began, "a.job") >= 40*tt.starts)
			if tt.once {
				is.Equal(z.count(engine.Began, "a.job"), 40)
			}
			z.judge()
		})
	}
}

// A worker dies with tasks on it: those that may be repeated run elsewhere
// once their leases have run out, the others are unknown.
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
			z.workers(4)
			z.start(0)
			z.start(1)
			z.eventually("all endpoints are owned", z.owned(4))
			req := jobRequest("a.job", wire.Batch, 4, engine.Body{Work: setup.Duration(2 * time.Second), Once: tt.once})
			req.Idempotent = !tt.once
			z.submit(z.placers[0], req)
			z.eventually("tasks run", func() bool { return z.runningAll() == 4 && z.row("a.job").Phase == wire.Running })
			for name, e := range z.engines {
				if e.Running() > 0 {
					z.engines[name].SetFaults(engine.Faults{Down: true, Freeze: true})
					break
				}
			}
			z.eventually("the end is written", func() bool { return z.row("a.job").Outcome != "" })
			is.Equal(z.row("a.job").Outcome, tt.outcome)
			z.judge()
		})
	}
}

// An endpoint that doesn't refuse old owners is owned by terms in the
// platform's table; while that is away the owner goes on by promises.
func TestEndpointWithoutFence(t *testing.T) {
	is := is.New(t)
	z := newZone(t, 2)
	e := z.endpoint("w0", point.Worker, "r0", cores(32), engine.WithFence(point.FenceClock))
	z.start(0)
	z.start(1)
	z.eventually("it is owned", z.owned(1))
	run := func(id string) wire.Outcome {
		req := jobRequest(id, wire.Batch, 1, engine.Body{})
		z.submit(z.placers[0], req)
		z.eventually("the end is written", func() bool { return z.row(id).Outcome != "" })
		return z.row(id).Outcome
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
	is.NoErr(err) // inside its term
	pass.Done()
	z.placers[owner].kill()
	is.NoErr(<-z.placers[owner].done)
	z.eventually("the other takes it", func() bool { _, n := z.placers[1-owner].keeper.Count(); return n == 1 })
	z.judge()
}

// newPair starts two placers that know one another and own all of so many
// workers.
func newPair(t *testing.T, workers int) *zone {
	t.Helper()
	z := newZone(t, 2)
	z.workers(workers)
	z.start(0)
	z.start(1)
	z.eventually("all endpoints are owned", z.owned(workers))
	z.eventually("both live", func() bool { return len(z.placers[0].members.Names()) == 2 })
	return z
}

// A placer that is killed and started again under its name drives its jobs on,
// which no other placer can tell from driven ones.
func TestRestartedDriverGoesOn(t *testing.T) {
	is := is.New(t)
	z := newPair(t, 4)
	z.submit(z.placers[0], jobRequest("a.job", wire.Batch, 4, engine.Body{Work: setup.Duration(2 * time.Second)}))
	z.eventually("it runs", func() bool { return z.runningAll() == 4 && z.row("a.job").Phase == wire.Running })
	i := z.driver("a.job")
	z.placers[i].kill()
	is.NoErr(<-z.placers[i].done)
	again := z.start(i)
	z.placers[i], z.placers[2] = again, z.placers[i]
	z.placers = z.placers[:2]
	z.eventually("the end is written", func() bool { return z.row("a.job").Outcome == wire.Done })
	is.Equal(z.count(engine.Began, "a.job"), 4)
	z.judge()
}

// Jobs that come while every worker is suspended run once the workers are
// back.
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
		z.submit(z.placers[i%2], req)
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(4 * time.Second) // leases run out meanwhile
	for _, e := range z.engines {
		e.SetFaults(engine.Faults{})
	}
	for i := range 20 {
		id := fmt.Sprintf("a.%d", i)
		z.eventually(id+" is done", func() bool { return z.row(id).Outcome == wire.Done })
	}
	is.True(z.count(engine.Began, "a.0") >= 3)
	z.judge()
}

// The platform takes the writes by which a placer becomes the driver, but
// their answers are lost: the row names a placer that doesn't know it.
func TestDriverWhoseWritesWereLost(t *testing.T) {
	is := is.New(t)
	z := newPair(t, 4)
	time.Sleep(4 * time.Second) // the scans that follow a change of members are over
	for i := range 2 {
		z.accept(jobRequest(fmt.Sprintf("a.%d", i), wire.Batch, 1, engine.Body{}))
	}
	z.memory.SetFaults(store.Faults{Lose: true})
	for i := range 2 {
		r := z.place(z.placers[i], jobRequest(fmt.Sprintf("a.%d", i), wire.Batch, 1, engine.Body{}))
		is.True(r.err != nil) // not driven, as far as is known
	}
	z.memory.SetFaults(store.Faults{})
	for i := range 2 {
		id := fmt.Sprintf("a.%d", i)
		z.eventually(id+" is done", func() bool { return z.row(id).Outcome == wire.Done })
	}
	z.judge()
}
