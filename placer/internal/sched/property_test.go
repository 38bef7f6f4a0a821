package sched

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/parts"
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

// fakeLimit is a Limit of fixed bounds, which only Adopt may exceed.
type fakeLimit struct {
	bounds map[string]parts.Bound
	used   map[string]parts.Amount
}

func (c *fakeLimit) Exceeded(team string, n parts.Amount) (name string, limit int64, ok bool) {
	return c.bounds[team].Exceeded(n)
}

func (c *fakeLimit) Room(team string, n parts.Amount) bool {
	_, _, over := c.bounds[team].Exceeded(c.used[team].Add(n))
	return !over
}

func (c *fakeLimit) Take(team string, n parts.Amount) bool {
	if !c.Room(team, n) {
		return false
	}
	c.used[team] = c.used[team].Add(n)
	return true
}
func (c *fakeLimit) Give(team string, n parts.Amount)               { c.used[team] = c.used[team].Sub(n) }
func (c *fakeLimit) Adopt(team string, n parts.Amount)              { c.used[team] = c.used[team].Add(n) }
func (c *fakeLimit) Transfer(team string, n parts.Amount, _ string) { c.Give(team, n) }

// model is the expected state: the tasks that run and the limits.
type model struct {
	t         *rapid.T
	clock     *timer.Service
	s         *Scheduler
	limit     *fakeLimit
	submitted int
	items     map[string]Item
	runs      map[taskKey]Decision
	running   []taskKey // keys of runs in start order, so that draws are reproducible
	capacity  map[string]wire.Needs
}

func newModel(t *rapid.T) *model {
	tight := parts.AtMost(9)
	tight.Set(parts.CPU, 15)
	tight.Set(parts.Mem, 10)
	m := &model{
		t: t, clock: newManualTimer(), items: map[string]Item{}, runs: map[taskKey]Decision{}, capacity: map[string]wire.Needs{},
		limit: &fakeLimit{map[string]parts.Bound{"a": tight, "b": parts.AtMost(1000)}, map[string]parts.Amount{}},
	}
	aim := rapid.SampledFrom([]Aim{AimWait, AimShare}).Draw(t, "aim")
	m.s = New(WithTimer(m.clock), WithLimit(m.limit), WithPolicy(Policy{Aim: aim, Headroom: 0.1, Preempt: true}))
	for i := range 5 {
		name := "w" + strconv.Itoa(i)
		m.capacity[name] = wire.Needs{CPU: 8, Mem: int64(6 + i)}
		m.s.Join(Endpoint{Name: name, Kind: point.Worker, Zone: "z" + strconv.Itoa(i%2), Rack: name, Capacity: m.capacity[name]})
	}
	return m
}

func (m *model) submit() {
	m.submitted++
	item := Item{
		ID:      strconv.Itoa(m.submitted),
		Team:    rapid.SampledFrom([]string{"a", "b"}).Draw(m.t, "team"),
		Kind:    rapid.SampledFrom([]wire.Kind{wire.Batch, wire.Gang, wire.Service}).Draw(m.t, "kind"),
		Needs:   wire.Needs{CPU: rapid.Int64Range(1, 8).Draw(m.t, "cpu"), Mem: rapid.Int64Range(0, 6).Draw(m.t, "mem")},
		Tasks:   rapid.IntRange(1, 5).Draw(m.t, "tasks"),
		Urgent:  rapid.Bool().Draw(m.t, "urgent"),
		Runtime: time.Duration(rapid.IntRange(0, 60).Draw(m.t, "run")) * time.Second,
	}
	if rapid.Bool().Draw(m.t, "deadline") {
		item.Deadline = m.clock.Now().Add(20 * time.Second)
	}
	if m.s.Submit(item) == nil {
		m.items[item.ID] = item
	}
}

func (m *model) decide() {
	gangs := map[string]int{}
	for _, d := range m.s.Decide() {
		k := taskKey{d.ID, d.Task}
		if d.Preempt {
			if _, ok := m.runs[k]; !ok || m.items[d.ID].Kind != wire.Batch {
				m.t.Fatalf("%v is to be checkpointed but can't be", k)
			}
			continue
		}
		if _, ok := m.runs[k]; ok {
			m.t.Fatalf("%v is started while it runs", k)
		}
		m.runs[k] = d
		m.running = append(m.running, k)
		if d.Kind == wire.Gang {
			gangs[d.ID]++
		}
	}
	for id, n := range gangs {
		if n != m.items[id].Tasks {
			m.t.Fatalf("gang %s: %d of %d tasks are started", id, n, m.items[id].Tasks)
		}
	}
}

func (m *model) drawRun() (taskKey, bool) {
	if len(m.running) == 0 {
		return taskKey{}, false
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(m.t, "task")
	return m.running[i], true
}

func (m *model) drop(k taskKey) {
	delete(m.runs, k)
	for i := range m.running {
		if m.running[i] == k {
			m.running = append(m.running[:i], m.running[i+1:]...)
			return
		}
	}
}

func (m *model) end() {
	if k, ok := m.drawRun(); ok {
		m.drop(k)
		m.s.Ended(k.id, k.number, rapid.Bool().Draw(m.t, "ok"))
	}
}

func (m *model) unsent() {
	if k, ok := m.drawRun(); ok {
		m.drop(k)
		m.s.Unsent(k.id, k.number)
	}
}

func (m *model) start() {
	if k, ok := m.drawRun(); ok {
		m.s.Started(k.id, k.number)
	}
}

func (m *model) cancel() {
	if m.submitted == 0 {
		return
	}
	id := strconv.Itoa(rapid.IntRange(1, m.submitted).Draw(m.t, "id"))
	if m.s.Cancel(id) {
		for k := range m.runs {
			if k.id == id {
				m.t.Fatalf("Cancel(%s) reported that no task will start, but one runs", id)
			}
		}
	}
}

func (m *model) report() {
	name := "w" + strconv.Itoa(rapid.IntRange(0, 4).Draw(m.t, "host"))
	m.s.Report(name, wire.Needs{CPU: rapid.Int64Range(0, 10).Draw(m.t, "cpu")})
}

func (m *model) rejoin() {
	name := "w" + strconv.Itoa(rapid.IntRange(0, 4).Draw(m.t, "host"))
	m.s.Drop(name)
	m.s.Join(Endpoint{Name: name, Kind: point.Worker, Zone: "z", Rack: name, Capacity: m.capacity[name]})
	for k, d := range m.runs {
		if d.Endpoint == name {
			item := m.items[k.id]
			m.s.Adopt(name, Task{ID: k.id, Number: k.number, Attempt: d.Attempt, Team: item.Team, Kind: item.Kind, Needs: d.Needs})
		}
	}
}

func (m *model) check(t *rapid.T) {
	granted := map[string]wire.Needs{}
	running := map[string]parts.Amount{}
	for k, d := range m.runs {
		granted[d.Endpoint] = granted[d.Endpoint].Add(d.Needs)
		team := m.items[k.id].Team
		running[team] = running[team].Add(limitAmount(1, d.Needs))
	}
	for name, n := range granted {
		if !n.Fits(m.capacity[name]) {
			t.Fatalf("endpoint %s: capacity %v, granted %v", name, m.capacity[name], n)
		}
		if row := m.s.workers.table.Row(name); row.Granted() != n {
			t.Fatalf("endpoint %s: granted %v, table has %v", name, n, row.Granted())
		}
	}
	for team, n := range running {
		if _, _, over := m.limit.Exceeded(team, n); over || n != m.limit.used[team] {
			t.Fatalf("team %s: running %v, limit counts %v of %v", team, n, m.limit.used[team], m.limit.bounds[team])
		}
	}
}

// TestDecisionInvariants applies random operations and checks that no endpoint
// or limit is overcommitted, no task runs twice and no gang starts in part.
func TestDecisionInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"":       m.check,
			"submit": func(*rapid.T) { m.submit() },
			"crowd":  func(*rapid.T) { m.submit(); m.submit(); m.decide() },
			"decide": func(*rapid.T) { m.decide() },
			"end":    func(*rapid.T) { m.end() },
			"unsent": func(*rapid.T) { m.unsent() },
			"start":  func(*rapid.T) { m.start() },
			"cancel": func(*rapid.T) { m.cancel() },
			"report": func(*rapid.T) { m.report() },
			"bounce": func(*rapid.T) { m.rejoin() },
			"expire": func(*rapid.T) { m.s.Expire() },
			"wait":   func(*rapid.T) { m.clock.Advance(time.Duration(rapid.IntRange(1, 30).Draw(m.t, "s")) * time.Second) },
		})
	})
}

// TestGangIsNotStarved checks that a gang starts although there are always
// enough small tasks to fill every gap, whose declared run times are about
// 5 times too short.
func TestGangIsNotStarved(t *testing.T) {
	is := is.New(t)
	clock := newManualTimer()
	s := New(WithTimer(clock))
	for i := range 8 {
		s.Join(worker("w"+strconv.Itoa(i), 4000))
	}
	made, ends, started := 0, 0, time.Duration(0)
	feed := func() {
		for s.Waiting() < 40 {
			made++
			item := batch("b"+strconv.Itoa(made), "small", 1000, 1)
			item.Runtime = time.Second
			is.NoErr(s.Submit(item))
		}
		for _, d := range s.Decide() {
			if d.ID == "g" {
				started = clock.Boot()
				continue
			}
			s.Started(d.ID, d.Task)
			ends++
			clock.After(time.Duration(3000+ends*997%4000)*time.Millisecond, func() { s.Ended(d.ID, d.Task, true) })
		}
	}
	feed()
	clock.Every(50*time.Millisecond, feed)
	clock.Advance(time.Second)
	is.NoErr(s.Submit(gang("g", "big", 4000, 6)))
	clock.Advance(5 * time.Minute)
	is.True(started > 0)
	t.Logf("gang started after %v", started-time.Second)
}

func TestUrgentPreempts(t *testing.T) {
	tests := map[string]struct {
		policy Policy
		team   string // whose batch tasks use all room
		want   int
	}{
		"wait":                    {Policy{Aim: AimWait, Preempt: true}, "t", 1},
		"share, team below share": {Policy{Aim: AimShare, Preempt: true}, "other", 1},
		"share, team above share": {Policy{Aim: AimShare, Preempt: true}, "t", 0},
		"not allowed":             {Policy{Aim: AimWait}, "t", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New(WithTimer(newManualTimer()), WithPolicy(tt.policy))
			s.Join(worker("w", 2000))
			is.NoErr(s.Submit(batch("b", tt.team, 1000, 2)))
			for _, d := range s.Decide() {
				s.Started(d.ID, d.Task)
			}
			urgent := batch("u", "t", 1000, 1)
			urgent.Urgent = true
			is.NoErr(s.Submit(urgent))
			is.NoErr(s.Submit(batch("b2", "third", 1000, 1)))
			got := s.Decide()
			is.Equal(len(got), tt.want)
			if tt.want == 0 {
				return
			}
			is.True(got[0].Preempt)
			is.Equal(len(s.Decide()), 0) // preempts only once and claims the room
			s.Ended("b", got[0].Task, true)
			next := s.Decide()
			is.Equal(len(next), 1)
			is.Equal(next[0].ID, "u")
		})
	}
}

func TestQuarantine(t *testing.T) {
	is := is.New(t)
	clock := newManualTimer()
	s := New(WithTimer(clock))
	for i := range 8 {
		s.Join(worker("w"+strconv.Itoa(i), 4000))
	}
	bad, made := 0, 0
	for range 600 {
		made++
		is.NoErr(s.Submit(batch(strconv.Itoa(made), "t", 1000, 8)))
		for _, d := range s.Decide() {
			s.Started(d.ID, d.Task)
			if d.Endpoint == "w0" {
				bad++
			}
			s.Ended(d.ID, d.Task, d.Endpoint != "w0")
		}
		clock.Advance(100 * time.Millisecond)
	}
	is.True(bad < 20) // of 4,800 tasks in a minute
	is.True(s.workers.table.Row("w0").Quarantined())
	is.Equal(s.workers.quarantined, 1)
}

// TestFailingJobCausesNoQuarantine checks that a job whose tasks fail on every
// endpoint puts none into quarantine.
func TestFailingJobCausesNoQuarantine(t *testing.T) {
	is := is.New(t)
	clock := newManualTimer()
	s := New(WithTimer(clock))
	for i := range 8 {
		s.Join(worker("w"+strconv.Itoa(i), 1000))
	}
	for i := range 40 {
		item := batch(strconv.Itoa(i), "t", 1000, 8)
		item.Name = "bad"
		is.NoErr(s.Submit(item))
		for _, d := range s.Decide() {
			s.Ended(d.ID, d.Task, false)
		}
	}
	is.Equal(s.workers.quarantined, 0)
}
