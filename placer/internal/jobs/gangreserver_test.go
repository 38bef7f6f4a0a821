package jobs

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/parts"
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/hold"
	"github.com/balsamford/balsamford/placer/internal/queue"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

const (
	gangTasks    = 12 // tasks of each gang; a worker has capacity for 8
	maxPartTasks = 6  // tasks that one placer's part of the team limit allows
)

// limitPart is one placer's part of a team's upper limit.
type limitPart struct{ taken int64 }

func (*limitPart) Exceeded(string, parts.Amount) (name string, limit int64, ok bool) {
	return "", 0, false
}
func (p *limitPart) Room(_ string, n parts.Amount) bool {
	return p.taken+n[parts.Tasks] <= maxPartTasks
}
func (p *limitPart) Take(team string, n parts.Amount) bool {
	if !p.Room(team, n) {
		return false
	}
	p.taken += n[parts.Tasks]
	return true
}
func (p *limitPart) Give(_ string, n parts.Amount)               { p.taken -= n[parts.Tasks] }
func (p *limitPart) Adopt(_ string, n parts.Amount)              { p.taken += n[parts.Tasks] }
func (p *limitPart) Transfer(_ string, n parts.Amount, _ string) { p.taken -= n[parts.Tasks] }

// testPlacer is a placer that owns one worker. The worker's state and epoch survive a
// restart of the placer.
type testPlacer struct {
	*queue.Dispatcher
	reservations *reservations
	gangLock     *gangLock
	foreignJobs  *foreignJobs
	part         *limitPart
	epoch        uint64
	running      map[string]queue.Order // tasks that run at the worker, by task id
	blocked      map[string]uint32      // by task id, the latest attempt that the worker refuses to start
}

// Decided implements queue.Jobs.
func (p *testPlacer) Decided(id string, orders []queue.Order) {
	if p.reservations.handleDecision(id, orders) || p.foreignJobs.handleDecision(id, orders) {
		return
	}
	p.Cancel(id)
	for _, o := range orders {
		p.Unsent(o)
	}
}
func (*testPlacer) Opened(hold.Target, *point.View) {}
func (*testPlacer) Ended(hold.Target, *point.Task)  {}
func (*testPlacer) Lapsed(hold.Target, uint64)      {}
func (*testPlacer) Expired(string, []int)           {}

// gang is a gang's row and the state of its driver.
type gang struct {
	id          string
	epoch       uint64
	sent        []queue.Order // attempts in the row; nil while capacity is reserved
	nextAttempt uint32
	reserver    *gangReserver
	lockPlacer  string
	done        bool
}

// gangModel is three placers and three gangs. Each request between them may be lost,
// duplicated or delayed, and its answer may be lost.
type gangModel struct {
	t       *rapid.T
	clock   *timer.Service
	placers map[string]*testPlacer
	gangs   []*gang
	faulty  bool
	delayed []func()
}

var errLost = errors.New("lost")

func newGangModel(t *rapid.T) *gangModel {
	m := &gangModel{t: t, clock: timer.New(timer.WithManual(time.Unix(1_000_000, 0))), placers: make(map[string]*testPlacer), faulty: true}
	for _, name := range []string{"p", "q", "r"} {
		m.placers[name] = &testPlacer{running: make(map[string]queue.Order), blocked: make(map[string]uint32)}
		m.restart(name)
	}
	for i := range 3 {
		m.gangs = append(m.gangs, &gang{id: fmt.Sprint("a.", i), nextAttempt: 1, lockPlacer: "p"})
		m.replaceDriver(m.gangs[i])
	}
	return m
}

// restart replaces a placer's process. The new one opens its worker under a new epoch.
func (m *gangModel) restart(name string) {
	p := m.placers[name]
	p.part = new(limitPart)
	p.Dispatcher = queue.New(sched.New(sched.WithTimer(m.clock), sched.WithLimit(p.part)))
	p.reservations, p.gangLock = newReservations(m.clock, p.Dispatcher), newGangLock(m.clock)
	p.foreignJobs = newForeignJobs(m.clock, p.Dispatcher)
	p.Attach(p, nil)
	p.epoch++
	view := &point.View{Name: name, Kind: point.Worker, Owner: point.Owner{Epoch: p.epoch}, Capacity: wire.Needs{CPU: 8}}
	for task, o := range p.running {
		view.Tasks = append(view.Tasks, point.Task{ID: task, Attempt: o.Attempt, State: point.Running, Kind: wire.Gang, Team: "t", Needs: o.Needs})
	}
	p.Dispatcher.Opened(hold.Target{Name: name, Kind: point.Worker}, view)
}

// replaceDriver gives a gang a new driver, which reserves capacity unless starts were
// sent.
func (m *gangModel) replaceDriver(g *gang) {
	g.epoch++
	m.reserve(g)
}

// reserve gives a gang a new gangReserver for its next attempt.
func (m *gangModel) reserve(g *gang) {
	item := sched.Item{ID: g.id, Team: "t", Attempt: g.nextAttempt, Kind: wire.Gang, Needs: wire.Needs{CPU: 1}}
	for n := range gangTasks {
		item.Numbers = append(item.Numbers, n)
	}
	g.reserver = &gangReserver{item: item, epoch: g.epoch, lockPlacer: func() string { return g.lockPlacer }, send: m.send,
		shares: splitGang(item.Numbers, []share{{placer: "p", capacity: 8}, {placer: "q", capacity: 8}, {placer: "r", capacity: 8}})}
}

// send delivers a request to a placer, subject to a fault.
func (m *gangModel) send(_ context.Context, placer string, req *peerRequest) (peerReply, error) {
	deliver := func() (peerReply, error) { return m.handle(m.placers[placer], req) }
	switch fault := m.fault(); fault {
	case "lost":
		return peerReply{}, errLost
	case "late":
		m.delayed = append(m.delayed, func() { _, _ = deliver() })
		return peerReply{}, errLost
	case "unanswered":
		_, _ = deliver()
		return peerReply{}, errLost
	case "twice":
		m.delayed = append(m.delayed, func() { _, _ = deliver() })
	}
	return deliver()
}

func (m *gangModel) fault() string {
	if !m.faulty {
		return ""
	}
	return rapid.SampledFrom([]string{"", "", "", "", "", "lost", "late", "unanswered", "twice"}).Draw(m.t, "fault")
}

// handle answers a request as Driver.handlePeer does.
func (m *gangModel) handle(p *testPlacer, req *peerRequest) (peerReply, error) {
	switch {
	case req.Lock != nil:
		return peerReply{Done: p.gangLock.acquire(req.Lock)}, nil
	case req.Reserve != nil:
		return p.reservations.reserve(req.Reserve), nil
	case req.Offloads != nil:
		return p.foreignJobs.enqueue(req.Offloads[0]), nil
	}
	orders, ok := p.reservations.take(req.Launch)
	if !ok {
		orders = p.foreignJobs.take(req.Launch)
	}
	var out peerReply
	for _, o := range orders {
		res := startResult{Task: o.Task, Status: notStarted}
		if m.start(p, o) {
			res.Status = started
		} else if o.Kind == wire.Batch {
			p.foreignJobs.release(o)
		} else {
			p.Unsent(o)
		}
		out.Results = append(out.Results, res)
	}
	return out, nil
}

// start starts a task as a worker does: it refuses earlier owners and attempts that
// were stopped or started before. It fails the test if the task runs already or the
// limit is exceeded.
func (m *gangModel) start(p *testPlacer, o queue.Order) bool {
	name := queue.TaskID(o.ID, o.Task)
	if o.Epoch != p.epoch || o.Attempt <= p.blocked[name] {
		return false
	}
	for at, other := range m.placers {
		if _, ok := other.running[name]; ok {
			m.t.Fatalf("%s started while it runs at %s", name, at)
		}
	}
	p.blocked[name] = o.Attempt // no attempt starts twice
	p.running[name] = o
	if len(p.running) > maxPartTasks {
		m.t.Fatalf("%d tasks run, limit %d", len(p.running), maxPartTasks)
	}
	return true
}

// round runs the next step of a gang's driver.
func (m *gangModel) round(g *gang) {
	ctx := context.Background()
	switch {
	case g.done:
	case g.sent != nil:
		m.finishGang(g)
	default:
		switch g.reserver.round(ctx) {
		case stateReady:
			m.launch(g)
		case stateFailed:
			g.reserver.release(ctx)
			m.reserve(g)
		case statePending:
		}
	}
}

// launch writes the attempts of a gang and has the placers start its tasks.
func (m *gangModel) launch(g *gang) {
	for i := range g.reserver.shares {
		g.sent = append(g.sent, g.reserver.shares[i].orders(g.reserver)...)
	}
	if len(g.sent) != gangTasks {
		m.t.Fatalf("%s started %d tasks", g.id, len(g.sent))
	}
	g.nextAttempt++
	for _, s := range g.reserver.shares {
		_, _ = m.send(context.Background(), s.placer, &peerRequest{Launch: &launchRequest{ID: g.id, Epoch: g.epoch, Attempt: g.reserver.item.Attempt}})
	}
	g.reserver.unlock(context.Background())
}

// finishGang ends all running tasks of a gang. If some hadn't started, the gang reserves
// capacity again; otherwise it is done.
func (m *gangModel) finishGang(g *gang) {
	g.done = true
	for _, o := range g.sent {
		p := m.placers[o.Endpoint]
		name := queue.TaskID(o.ID, o.Task)
		p.blocked[name] = max(p.blocked[name], o.Attempt)
		if _, ok := p.running[name]; !ok {
			g.done = false
			continue
		}
		delete(p.running, name)
		p.Dispatcher.Ended(o, true)
	}
	g.sent = nil
	if !g.done {
		m.reserve(g)
	}
}

// advance moves the clock and lets reservations expire.
func (m *gangModel) advance(d time.Duration) {
	m.clock.Advance(d)
	for _, p := range m.placers {
		p.reservations.expire()
		p.foreignJobs.expire()
	}
}

// progress runs enough steps to start a gang if nothing blocks it.
func (m *gangModel) progress(g *gang) {
	for range 3 {
		if g.sent == nil {
			m.round(g)
		}
		for _, name := range []string{"p", "q", "r"} {
			m.placers[name].Schedule()
		}
	}
}

// finishAll ends all faults and checks that each gang then finishes.
func (m *gangModel) finishAll() {
	m.faulty = false
	for _, g := range m.gangs {
		g.lockPlacer = "p"
	}
	for range 200 {
		m.advance(retryDelay)
		for _, name := range []string{"p", "q", "r"} {
			m.placers[name].Schedule()
		}
		for _, g := range m.gangs {
			m.round(g)
		}
	}
	for _, g := range m.gangs {
		if !g.done {
			m.t.Fatalf("%s never finished", g.id)
		}
	}
}

// Checks gangs that run at several placers under lost, delayed and duplicated
// requests, killed processes and disagreement on the placer that runs the gang lock:
// a gang starts all of its tasks or none, no task runs twice at a time, no limit is
// exceeded, and gangs don't deadlock.
func TestGangsAcrossOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newGangModel(t)
		anyPlacer := func() string { return rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "placer") }
		anyGang := func() *gang { return rapid.SampledFrom(m.gangs).Draw(t, "gang") }
		t.Repeat(map[string]func(*rapid.T){
			"round":       func(*rapid.T) { m.round(anyGang()) },
			"go on":       func(*rapid.T) { m.progress(anyGang()) },
			"decide":      func(*rapid.T) { m.placers[anyPlacer()].Schedule() },
			"kill driver": func(*rapid.T) { m.replaceDriver(anyGang()) },
			"kill owner":  func(*rapid.T) { m.restart(anyPlacer()) },
			"views":       func(*rapid.T) { anyGang().lockPlacer = anyPlacer() },
			"late word": func(t *rapid.T) {
				if len(m.delayed) == 0 {
					t.Skip("no request is delayed")
				}
				i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "word")
				deliver := m.delayed[i]
				m.delayed = slices.Delete(m.delayed, i, i+1)
				deliver()
			},
			"time": func(*rapid.T) {
				m.advance(rapid.SampledFrom([]time.Duration{retryDelay, reservationTTL, time.Minute}).Draw(t, "time"))
			},
		})
		m.finishAll()
	})
}
