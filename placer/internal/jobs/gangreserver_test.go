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
	"github.com/balsamford/balsamford/placer/internal/desk"
	"github.com/balsamford/balsamford/placer/internal/hold"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

const (
	gangTasks    = 12 // of each gang; an owner runs 8 of them, its part of the limit is 6
	maxPartTasks = 6
)

// onePart is one placer's part of a team's upper limit.
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
func (p *limitPart) Give(_ string, n parts.Amount)           { p.taken -= n[parts.Tasks] }
func (p *limitPart) Adopt(_ string, n parts.Amount)          { p.taken += n[parts.Tasks] }
func (p *limitPart) Pass(_ string, n parts.Amount, _ string) { p.taken -= n[parts.Tasks] }

// host is a placer with a worker of its own. The worker and its epoch outlast
// the placer's process.
type testPlacer struct {
	*desk.Desk
	reservations *reservations
	gangLock     *gangLock
	foreignJobs  *foreignJobs
	part         *limitPart
	epoch        uint64
	running      map[string]desk.Order // by the task's name
	blocked      map[string]uint32     // attempts up to which a task doesn't begin any more
}

// Decided implements desk.Jobs.
func (h *testPlacer) Decided(id string, orders []desk.Order) {
	if h.reservations.handleDecision(id, orders) || h.foreignJobs.handleDecision(id, orders) {
		return
	}
	h.Cancel(id)
	for _, o := range orders {
		h.Unsent(o)
	}
}
func (*testPlacer) Opened(hold.Target, *point.View) {}
func (*testPlacer) Ended(hold.Target, *point.Task)  {}
func (*testPlacer) Lapsed(hold.Target, uint64)      {}
func (*testPlacer) Expired(string, []int)           {}

// gang is a job's row and its driver.
type gang struct {
	id          string
	epoch       uint64
	sent        []desk.Order // as the row has them; none while room is booked
	nextAttempt uint32       // attempt
	reserver    *gangReserver
	lockPlacer  string
	done        bool
}

// gangModel is three owners and three gangs. Each word between them may be
// lost, or its answer, or it may come twice or late.
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
		m.placers[name] = &testPlacer{running: make(map[string]desk.Order), blocked: make(map[string]uint32)}
		m.restart(name)
	}
	for i := range 3 {
		m.gangs = append(m.gangs, &gang{id: fmt.Sprint("a.", i), nextAttempt: 1, lockPlacer: "p"})
		m.replaceDriver(m.gangs[i])
	}
	return m
}

// restart replaces an owner's process, which opens its worker anew.
func (m *gangModel) restart(name string) {
	h := m.placers[name]
	h.part = new(limitPart)
	h.Desk = desk.New(sched.New(sched.WithTimer(m.clock), sched.WithLimit(h.part)))
	h.reservations, h.gangLock = newReservations(m.clock, h.Desk), newGangLock(m.clock)
	h.foreignJobs = newForeignJobs(m.clock, h.Desk)
	h.Attach(h, nil)
	h.epoch++
	view := &point.View{Name: name, Kind: point.Worker, Owner: point.Owner{Epoch: h.epoch}, Capacity: wire.Needs{CPU: 8}}
	for task, o := range h.running {
		view.Tasks = append(view.Tasks, point.Task{ID: task, Attempt: o.Attempt, State: point.Running, Kind: wire.Gang, Team: "t", Needs: o.Needs})
	}
	h.Desk.Opened(hold.Target{Name: name, Kind: point.Worker}, view)
}

// drive gives a gang a new driver, which books room unless starts were sent.
func (m *gangModel) replaceDriver(g *gang) {
	g.epoch++
	m.reserve(g)
}

func (m *gangModel) reserve(g *gang) {
	item := sched.Item{ID: g.id, Team: "t", Attempt: g.nextAttempt, Kind: wire.Gang, Needs: wire.Needs{CPU: 1}}
	for n := range gangTasks {
		item.Numbers = append(item.Numbers, n)
	}
	g.reserver = &gangReserver{item: item, epoch: g.epoch, lockPlacer: func() string { return g.lockPlacer }, send: m.send,
		shares: splitGang(item.Numbers, []share{{placer: "p", capacity: 8}, {placer: "q", capacity: 8}, {placer: "r", capacity: 8}})}
}

func (m *gangModel) send(_ context.Context, placer string, n *peerRequest) (peerReply, error) {
	deliver := func() (peerReply, error) { return m.handle(m.placers[placer], n) }
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

func (m *gangModel) handle(h *testPlacer, n *peerRequest) (peerReply, error) {
	switch {
	case n.Lock != nil:
		return peerReply{Done: h.gangLock.acquire(n.Lock)}, nil
	case n.Reserve != nil:
		return h.reservations.reserve(n.Reserve), nil
	case n.Offloads != nil:
		return h.foreignJobs.enqueue(n.Offloads[0]), nil
	}
	orders, ok := h.reservations.take(n.Launch)
	if !ok {
		orders = h.foreignJobs.take(n.Launch)
	}
	var out peerReply
	for _, o := range orders {
		f := startResult{Task: o.Task, Status: notStarted}
		if m.start(h, o) {
			f.Status = started
		} else if o.Kind == wire.Batch {
			h.foreignJobs.release(o)
		} else {
			h.Unsent(o)
		}
		out.Results = append(out.Results, f)
	}
	return out, nil
}

// begin starts a task as a worker does, which refuses older owners and
// attempts that were stopped before they came.
func (m *gangModel) start(h *testPlacer, o desk.Order) bool {
	name := desk.TaskID(o.ID, o.Task)
	if o.Epoch != h.epoch || o.Attempt <= h.blocked[name] {
		return false
	}
	for at, other := range m.placers {
		if _, ok := other.running[name]; ok {
			m.t.Fatalf("%s starts while it runs at %s", name, at)
		}
	}
	h.blocked[name] = o.Attempt // none begins twice
	h.running[name] = o
	if len(h.running) > maxPartTasks {
		m.t.Fatalf("%d tasks run where the limit allows %d", len(h.running), maxPartTasks)
	}
	return true
}

// round is what a gang's driver does next.
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

func (m *gangModel) launch(g *gang) {
	for i := range g.reserver.shares {
		g.sent = append(g.sent, g.reserver.shares[i].orders(g.reserver)...)
	}
	if len(g.sent) != gangTasks {
		m.t.Fatalf("%s starts %d tasks", g.id, len(g.sent))
	}
	g.nextAttempt++
	for _, p := range g.reserver.shares {
		_, _ = m.send(context.Background(), p.placer, &peerRequest{Launch: &launchRequest{ID: g.id, Epoch: g.epoch, Attempt: g.reserver.item.Attempt}})
	}
	g.reserver.unlock(context.Background())
}

// settle ends a gang that runs as a whole, or stops what runs of it and lets
// it wait again.
func (m *gangModel) finishGang(g *gang) {
	g.done = true
	for _, o := range g.sent {
		h := m.placers[o.Endpoint]
		name := desk.TaskID(o.ID, o.Task)
		h.blocked[name] = max(h.blocked[name], o.Attempt)
		if _, ok := h.running[name]; !ok {
			g.done = false
			continue
		}
		delete(h.running, name)
		h.Desk.Ended(o, true)
	}
	g.sent = nil
	if !g.done {
		m.reserve(g)
	}
}

func (m *gangModel) advance(d time.Duration) {
	m.clock.Advance(d)
	for _, h := range m.placers {
		h.reservations.expire()
		h.foreignJobs.expire()
	}
}

// goOn lets a gang come as far as its starts, if nothing is in its way.
func (m *gangModel) progress(g *gang) {
	for range 3 {
		if g.sent == nil {
			m.round(g)
		}
		for _, name := range []string{"p", "q", "r"} {
			m.placers[name].Turn()
		}
	}
}

// end heals all and lets the gangs run.
func (m *gangModel) finishAll() {
	m.faulty = false
	for _, g := range m.gangs {
		g.lockPlacer = "p"
	}
	for range 200 {
		m.advance(retryDelay)
		for _, name := range []string{"p", "q", "r"} {
			m.placers[name].Turn()
		}
		for _, g := range m.gangs {
			m.round(g)
		}
	}
	for _, g := range m.gangs {
		if !g.done {
			m.t.Fatalf("%s waits for ever", g.id)
		}
	}
}

// Whatever is lost, late, doubled, paused or killed, a gang's tasks start
// together and each runs once at a time, no part of a limit is passed, and no
// gang waits for ever for another.
func TestGangsAcrossOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newGangModel(t)
		anyPlacer := func() string { return rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "placer") }
		anyGang := func() *gang { return rapid.SampledFrom(m.gangs).Draw(t, "gang") }
		t.Repeat(map[string]func(*rapid.T){
			"round":       func(*rapid.T) { m.round(anyGang()) },
			"go on":       func(*rapid.T) { m.progress(anyGang()) },
			"decide":      func(*rapid.T) { m.placers[anyPlacer()].Turn() },
			"kill driver": func(*rapid.T) { m.replaceDriver(anyGang()) },
			"kill owner":  func(*rapid.T) { m.restart(anyPlacer()) },
			"views":       func(*rapid.T) { anyGang().lockPlacer = anyPlacer() },
			"late word": func(t *rapid.T) {
				if len(m.delayed) == 0 {
					t.Skip("none is under way")
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
