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

// cap is a limit that may be exceeded by adoption only.
type capped struct {
	most map[string]parts.Bound
	used map[string]parts.Amount
}

func (c *capped) Exceeded(team string, n parts.Amount) (name string, limit int64, ok bool) {
	return c.most[team].Exceeded(n)
}

func (c *capped) Room(team string, n parts.Amount) bool {
	_, _, over := c.most[team].Exceeded(c.used[team].Add(n))
	return !over
}

func (c *capped) Take(team string, n parts.Amount) bool {
	if !c.Room(team, n) {
		return false
	}
	c.used[team] = c.used[team].Add(n)
	return true
}
func (c *capped) Give(team string, n parts.Amount)           { c.used[team] = c.used[team].Sub(n) }
func (c *capped) Adopt(team string, n parts.Amount)          { c.used[team] = c.used[team].Add(n) }
func (c *capped) Pass(team string, n parts.Amount, _ string) { c.Give(team, n) }

// world is what really runs.
type world struct {
	t     *rapid.T
	clock *timer.Service
	s     *Scheduler
	limit *capped
	made  int
	items map[string]Item
	runs  map[taskKey]Decision
	live  []taskKey // in the order of their starts, so that draws repeat
	hosts map[string]wire.Needs
}

func newWorld(t *rapid.T) *world {
	tight := parts.AtMost(9)
	tight.Set(parts.CPU, 15)
	tight.Set(parts.Mem, 10)
	w := &world{
		t: t, clock: manual(), items: map[string]Item{}, runs: map[taskKey]Decision{}, hosts: map[string]wire.Needs{},
		limit: &capped{map[string]parts.Bound{"a": tight, "b": parts.AtMost(1000)}, map[string]parts.Amount{}},
	}
	aim := rapid.SampledFrom([]Aim{AimWait, AimShare}).Draw(t, "aim")
	w.s = New(WithTimer(w.clock), WithLimit(w.limit), WithPolicy(Policy{Aim: aim, Headroom: 0.1, Preempt: true}))
	for i := range 5 {
		name := "w" + strconv.Itoa(i)
		w.hosts[name] = wire.Needs{CPU: 8, Mem: int64(6 + i)}
		w.s.Join(Endpoint{Name: name, Kind: point.Worker, Zone: "z" + strconv.Itoa(i%2), Rack: name, Capacity: w.hosts[name]})
	}
	return w
}

func (w *world) submit() {
	w.made++
	item := Item{
		ID:      strconv.Itoa(w.made),
		Team:    rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, "team"),
		Kind:    rapid.SampledFrom([]wire.Kind{wire.Batch, wire.Gang, wire.Service}).Draw(w.t, "kind"),
		Needs:   wire.Needs{CPU: rapid.Int64Range(1, 8).Draw(w.t, "cpu"), Mem: rapid.Int64Range(0, 6).Draw(w.t, "mem")},
		Tasks:   rapid.IntRange(1, 5).Draw(w.t, "tasks"),
		Urgent:  rapid.Bool().Draw(w.t, "urgent"),
		Runtime: time.Duration(rapid.IntRange(0, 60).Draw(w.t, "run")) * time.Second,
	}
	if rapid.Bool().Draw(w.t, "deadline") {
		item.Deadline = w.clock.Now().Add(20 * time.Second)
	}
	if w.s.Submit(item) == nil {
		w.items[item.ID] = item
	}
}

func (w *world) decide() {
	gangs := map[string]int{}
	for _, d := range w.s.Decide() {
		k := taskKey{d.ID, d.Task}
		if d.Preempt {
			if _, ok := w.runs[k]; !ok || w.items[d.ID].Kind != wire.Batch {
				w.t.Fatalf("%v is to be checkpointed but can't be", k)
			}
			continue
		}
		if _, ok := w.runs[k]; ok {
			w.t.Fatalf("%v starts while it runs", k)
		}
		w.runs[k] = d
		w.live = append(w.live, k)
		if d.Kind == wire.Gang {
			gangs[d.ID]++
		}
	}
	for id, n := range gangs {
		if n != w.items[id].Tasks {
			w.t.Fatalf("gang %s: %d of %d start", id, n, w.items[id].Tasks)
		}
	}
}

func (w *world) take() (taskKey, bool) {
	if len(w.live) == 0 {
		return taskKey{}, false
	}
	i := rapid.IntRange(0, len(w.live)-1).Draw(w.t, "task")
	return w.live[i], true
}

func (w *world) drop(k taskKey) {
	delete(w.runs, k)
	for i := range w.live {
		if w.live[i] == k {
			w.live = append(w.live[:i], w.live[i+1:]...)
			return
		}
	}
}

func (w *world) end() {
	if k, ok := w.take(); ok {
		w.drop(k)
		w.s.Ended(k.id, k.number, rapid.Bool().Draw(w.t, "ok"))
	}
}

func (w *world) unsent() {
	if k, ok := w.take(); ok {
		w.drop(k)
		w.s.Unsent(k.id, k.number)
	}
}

func (w *world) start() {
	if k, ok := w.take(); ok {
		w.s.Started(k.id, k.number)
	}
}

func (w *world) cancel() {
	if w.made == 0 {
		return
	}
	id := strconv.Itoa(rapid.IntRange(1, w.made).Draw(w.t, "id"))
	if w.s.Cancel(id) {
		for k := range w.runs {
			if k.id == id {
				w.t.Fatalf("%s was cancelled as not run, but runs", id)
			}
		}
	}
}

func (w *world) report() {
	name := "w" + strconv.Itoa(rapid.IntRange(0, 4).Draw(w.t, "host"))
	w.s.Report(name, wire.Needs{CPU: rapid.Int64Range(0, 10).Draw(w.t, "cpu")})
}

func (w *world) bounce() {
	name := "w" + strconv.Itoa(rapid.IntRange(0, 4).Draw(w.t, "host"))
	w.s.Drop(name)
	w.s.Join(Endpoint{Name: name, Kind: point.Worker, Zone: "z", Rack: name, Capacity: w.hosts[name]})
	for k, d := range w.runs {
		if d.Endpoint == name {
			item := w.items[k.id]
			w.s.Adopt(name, Task{ID: k.id, Number: k.number, Attempt: d.Attempt, Team: item.Team, Kind: item.Kind, Needs: d.Needs})
		}
	}
}

func (w *world) check(t *rapid.T) {
	given := map[string]wire.Needs{}
	running := map[string]parts.Amount{}
	for k, d := range w.runs {
		given[d.Endpoint] = given[d.Endpoint].Add(d.Needs)
		team := w.items[k.id].Team
		running[team] = running[team].Add(counted(1, d.Needs))
	}
	for name, n := range given {
		if !n.Fits(w.hosts[name]) {
			t.Fatalf("%s has %v and is given %v", name, w.hosts[name], n)
		}
		if row := w.s.workers.table.Row(name); row.Granted() != n {
			t.Fatalf("%s is given %v, its row says %v", name, n, row.Granted())
		}
	}
	for team, n := range running {
		if _, _, over := w.limit.Exceeded(team, n); over || n != w.limit.used[team] {
			t.Fatalf("team %s runs %v, the limit counts %v of %v", team, n, w.limit.used[team], w.limit.most[team])
		}
	}
}

func TestDecisionsKeepTheirPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"":       w.check,
			"submit": func(*rapid.T) { w.submit() },
			"crowd":  func(*rapid.T) { w.submit(); w.submit(); w.decide() },
			"decide": func(*rapid.T) { w.decide() },
			"end":    func(*rapid.T) { w.end() },
			"unsent": func(*rapid.T) { w.unsent() },
			"start":  func(*rapid.T) { w.start() },
			"cancel": func(*rapid.T) { w.cancel() },
			"report": func(*rapid.T) { w.report() },
			"bounce": func(*rapid.T) { w.bounce() },
			"expire": func(*rapid.T) { w.s.Expire() },
			"wait":   func(*rapid.T) { w.clock.Advance(time.Duration(rapid.IntRange(1, 30).Draw(w.t, "s")) * time.Second) },
		})
	})
}

// A gang starts although small tasks, whose run times are declared 5 times
// too short, would take each hole that comes up.
func TestGangIsNotStarved(t *testing.T) {
	is := is.New(t)
	clock := manual()
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
		team   string // whose batch work fills the cell
		want   int
	}{
		"wait":                   {Policy{Aim: AimWait, Preempt: true}, "t", 1},
		"share, team under it":   {Policy{Aim: AimShare, Preempt: true}, "other", 1},
		"share, team has it all": {Policy{Aim: AimShare, Preempt: true}, "t", 0},
		"not allowed":            {Policy{Aim: AimWait}, "t", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := New(WithTimer(manual()), WithPolicy(tt.policy))
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
			is.Equal(len(s.Decide()), 0) // told once, and the room is kept
			s.Ended("b", got[0].Task, true)
			next := s.Decide()
			is.Equal(len(next), 1)
			is.Equal(next[0].ID, "u")
		})
	}
}

func TestQuarantine(t *testing.T) {
	is := is.New(t)
	clock := manual()
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
	is.True(bad < 20) // of 4,800 in a minute
	is.True(s.workers.table.Row("w0").Barred())
	is.Equal(s.workers.barred, 1)
}

// A job whose tasks fail wherever they run puts no endpoint into quarantine.
func TestBadJobBarsNobody(t *testing.T) {
	is := is.New(t)
	clock := manual()
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
	is.Equal(s.workers.barred, 0)
}
