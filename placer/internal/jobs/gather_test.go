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
	gangTasks = 12 // of each gang; an owner runs 8 of them, its part of the limit is 6
	partTasks = 6
)

// onePart is one placer's part of a team's upper limit.
type onePart struct{ taken int64 }

func (*onePart) Exceeded(string, parts.Amount) (name string, limit int64, ok bool) {
	return "", 0, false
}
func (p *onePart) Room(_ string, n parts.Amount) bool { return p.taken+n[parts.Tasks] <= partTasks }
func (p *onePart) Take(team string, n parts.Amount) bool {
	if !p.Room(team, n) {
		return false
	}
	p.taken += n[parts.Tasks]
	return true
}
func (p *onePart) Give(_ string, n parts.Amount)           { p.taken -= n[parts.Tasks] }
func (p *onePart) Adopt(_ string, n parts.Amount)          { p.taken += n[parts.Tasks] }
func (p *onePart) Pass(_ string, n parts.Amount, _ string) { p.taken -= n[parts.Tasks] }

// host is a placer with a worker of its own. The worker and its epoch outlast
// the placer's process.
type host struct {
	*desk.Desk
	books  *books
	turns  *turns
	loans  *loans
	part   *onePart
	epoch  uint64
	runs   map[string]desk.Order // by the task's name
	barred map[string]uint32     // attempts up to which a task doesn't begin any more
}

// Decided implements desk.Jobs.
func (h *host) Decided(id string, orders []desk.Order) {
	if h.books.decided(id, orders) || h.loans.decided(id, orders) {
		return
	}
	h.Cancel(id)
	for _, o := range orders {
		h.Unsent(o)
	}
}
func (*host) Opened(hold.Target, *point.View) {}
func (*host) Ended(hold.Target, *point.Task)  {}
func (*host) Lapsed(hold.Target, uint64)      {}
func (*host) Expired(string, []int)           {}

// gang is a job's row and its driver.
type gang struct {
	id     string
	epoch  uint64
	sent   []desk.Order // as the row has them; none while room is booked
	next   uint32       // attempt
	driver *gathering
	keeper string
	done   bool
}

// gangModel is three owners and three gangs. Each word between them may be
// lost, or its answer, or it may come twice or late.
type gangModel struct {
	t      *rapid.T
	clock  *timer.Service
	hosts  map[string]*host
	gangs  []*gang
	faulty bool
	late   []func()
}

var errLost = errors.New("lost")

func newGangs(t *rapid.T) *gangModel {
	m := &gangModel{t: t, clock: timer.New(timer.WithManual(time.Unix(1_000_000, 0))), hosts: make(map[string]*host), faulty: true}
	for _, name := range []string{"p", "q", "r"} {
		m.hosts[name] = &host{runs: make(map[string]desk.Order), barred: make(map[string]uint32)}
		m.restart(name)
	}
	for i := range 3 {
		m.gangs = append(m.gangs, &gang{id: fmt.Sprint("a.", i), next: 1, keeper: "p"})
		m.drive(m.gangs[i])
	}
	return m
}

// restart replaces an owner's process, which opens its worker anew.
func (m *gangModel) restart(name string) {
	h := m.hosts[name]
	h.part = new(onePart)
	h.Desk = desk.New(sched.New(sched.WithTimer(m.clock), sched.WithLimit(h.part)))
	h.books, h.turns = newBooks(m.clock, h.Desk), newTurns(m.clock)
	h.loans = newLoans(m.clock, h.Desk)
	h.Attach(h, nil)
	h.epoch++
	view := &point.View{Name: name, Kind: point.Worker, Owner: point.Owner{Epoch: h.epoch}, Capacity: wire.Needs{CPU: 8}}
	for task, o := range h.runs {
		view.Tasks = append(view.Tasks, point.Task{ID: task, Attempt: o.Attempt, State: point.Running, Kind: wire.Gang, Team: "t", Needs: o.Needs})
	}
	h.Desk.Opened(hold.Target{Name: name, Kind: point.Worker}, view)
}

// drive gives a gang a new driver, which books room unless starts were sent.
func (m *gangModel) drive(g *gang) {
	g.epoch++
	m.gather(g)
}

func (m *gangModel) gather(g *gang) {
	item := sched.Item{ID: g.id, Team: "t", Attempt: g.next, Kind: wire.Gang, Needs: wire.Needs{CPU: 1}}
	for n := range gangTasks {
		item.Numbers = append(item.Numbers, n)
	}
	g.driver = &gathering{item: item, epoch: g.epoch, keeper: func() string { return g.keeper }, tell: m.tell,
		shares: split(item.Numbers, []portion{{placer: "p", room: 8}, {placer: "q", room: 8}, {placer: "r", room: 8}})}
}

func (m *gangModel) tell(_ context.Context, placer string, n *note) (noted, error) {
	say := func() (noted, error) { return m.answer(m.hosts[placer], n) }
	switch fault := m.fault(); fault {
	case "lost":
		return noted{}, errLost
	case "late":
		m.late = append(m.late, func() { _, _ = say() })
		return noted{}, errLost
	case "unanswered":
		_, _ = say()
		return noted{}, errLost
	case "twice":
		m.late = append(m.late, func() { _, _ = say() })
	}
	return say()
}

func (m *gangModel) fault() string {
	if !m.faulty {
		return ""
	}
	return rapid.SampledFrom([]string{"", "", "", "", "", "lost", "late", "unanswered", "twice"}).Draw(m.t, "fault")
}

func (m *gangModel) answer(h *host, n *note) (noted, error) {
	switch {
	case n.Turn != nil:
		return noted{Done: h.turns.ask(n.Turn)}, nil
	case n.Book != nil:
		return h.books.book(n.Book), nil
	case n.Loans != nil:
		return h.loans.book(n.Loans[0]), nil
	}
	orders, ok := h.books.take(n.Launch)
	if !ok {
		orders = h.loans.take(n.Launch)
	}
	var out noted
	for _, o := range orders {
		f := fate{Task: o.Task, Fate: unsent}
		if m.begin(h, o) {
			f.Fate = begun
		} else if o.Kind == wire.Batch {
			h.loans.undo(o)
		} else {
			h.Unsent(o)
		}
		out.Fates = append(out.Fates, f)
	}
	return out, nil
}

// begin starts a task as a worker does, which refuses older owners and
// attempts that were stopped before they came.
func (m *gangModel) begin(h *host, o desk.Order) bool {
	name := desk.TaskID(o.ID, o.Task)
	if o.Epoch != h.epoch || o.Attempt <= h.barred[name] {
		return false
	}
	for at, other := range m.hosts {
		if _, ok := other.runs[name]; ok {
			m.t.Fatalf("%s starts while it runs at %s", name, at)
		}
	}
	h.barred[name] = o.Attempt // none begins twice
	h.runs[name] = o
	if len(h.runs) > partTasks {
		m.t.Fatalf("%d tasks run where the limit allows %d", len(h.runs), partTasks)
	}
	return true
}

// round is what a gang's driver does next.
func (m *gangModel) round(g *gang) {
	ctx := context.Background()
	switch {
	case g.done:
	case g.sent != nil:
		m.settle(g)
	default:
		switch g.driver.round(ctx) {
		case ready:
			m.launch(g)
		case failed:
			g.driver.drop(ctx)
			m.gather(g)
		case waits:
		}
	}
}

func (m *gangModel) launch(g *gang) {
	for i := range g.driver.shares {
		g.sent = append(g.sent, g.driver.shares[i].orders(g.driver)...)
	}
	if len(g.sent) != gangTasks {
		m.t.Fatalf("%s starts %d tasks", g.id, len(g.sent))
	}
	g.next++
	for _, p := range g.driver.shares {
		_, _ = m.tell(context.Background(), p.placer, &note{Launch: &launch{ID: g.id, Epoch: g.epoch, Attempt: g.driver.item.Attempt}})
	}
	g.driver.end(context.Background())
}

// settle ends a gang that runs as a whole, or stops what runs of it and lets
// it wait again.
func (m *gangModel) settle(g *gang) {
	g.done = true
	for _, o := range g.sent {
		h := m.hosts[o.Endpoint]
		name := desk.TaskID(o.ID, o.Task)
		h.barred[name] = max(h.barred[name], o.Attempt)
		if _, ok := h.runs[name]; !ok {
			g.done = false
			continue
		}
		delete(h.runs, name)
		h.Desk.Ended(o, true)
	}
	g.sent = nil
	if !g.done {
		m.gather(g)
	}
}

func (m *gangModel) wait(d time.Duration) {
	m.clock.Advance(d)
	for _, h := range m.hosts {
		h.books.expire()
		h.loans.expire()
	}
}

// goOn lets a gang come as far as its starts, if nothing is in its way.
func (m *gangModel) goOn(g *gang) {
	for range 3 {
		if g.sent == nil {
			m.round(g)
		}
		for _, name := range []string{"p", "q", "r"} {
			m.hosts[name].Schedule()
		}
	}
}

// end heals all and lets the gangs run.
func (m *gangModel) end() {
	m.faulty = false
	for _, g := range m.gangs {
		g.keeper = "p"
	}
	for range 200 {
		m.wait(pause)
		for _, name := range []string{"p", "q", "r"} {
			m.hosts[name].Schedule()
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
		m := newGangs(t)
		name := func() string { return rapid.SampledFrom([]string{"p", "q", "r"}).Draw(t, "placer") }
		one := func() *gang { return rapid.SampledFrom(m.gangs).Draw(t, "gang") }
		t.Repeat(map[string]func(*rapid.T){
			"round":       func(*rapid.T) { m.round(one()) },
			"go on":       func(*rapid.T) { m.goOn(one()) },
			"decide":      func(*rapid.T) { m.hosts[name()].Schedule() },
			"kill driver": func(*rapid.T) { m.drive(one()) },
			"kill owner":  func(*rapid.T) { m.restart(name()) },
			"views":       func(*rapid.T) { one().keeper = name() },
			"late word": func(t *rapid.T) {
				if len(m.late) == 0 {
					t.Skip("none is under way")
				}
				i := rapid.IntRange(0, len(m.late)-1).Draw(t, "word")
				say := m.late[i]
				m.late = slices.Delete(m.late, i, i+1)
				say()
			},
			"time": func(*rapid.T) {
				m.wait(rapid.SampledFrom([]time.Duration{pause, bookTime, time.Minute}).Draw(t, "time"))
			},
		})
		m.end()
	})
}
