package plan

import (
	"cmp"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/model"
)

const tick = 100 * time.Millisecond

// cell plays executors that answer at once: runs make progress, and stops take effect at the next
// tick and save a checkpoint.
type cell struct {
	*fixture
	now     time.Time
	perTick float64          // percents that a run makes in a tick
	running map[runKey]Start // by task and number
	percent map[runKey]float64
	ends    map[string][]model.End // to be reported, by executor
	moves   []Move
	asked   int     // requests to the adviser
	resumed []Start // with a checkpoint
	worst   int     // tasks of job j that weren't available at a time
}

func newCell(perTick float64) *cell {
	return &cell{
		fixture: newFixture(WithStopTime(200 * time.Millisecond)), now: epoch, perTick: perTick, running: make(map[runKey]Start),
		percent: make(map[runKey]float64), ends: make(map[string][]model.End),
	}
}

// addZone adds executors of a zone with room for so many tasks of one core each.
func (c *cell) addZone(zone string, executors, tasks int, labels ...string) {
	for i := range executors {
		id := fmt.Sprintf("%s-%d", zone, i)
		c.state.SetExecutor(model.Executor{ID: id, Service: "s", Zone: zone, Rack: zone, Room: model.Amount{CPU: int64(1000 * tasks), Memory: 100000}, Labels: labels})
		c.state.Reported(c.now, id, Report{RequestedAt: c.now})
	}
	c.state.AllExecutorsListed(epoch)
}

func (c *cell) submit(id, queue string, step model.Step) {
	step.Need = oneCore
	c.state.AddJob(c.now, &model.Job{ID: id, Queue: queue, Team: "t", Steps: []model.Step{step}, Sent: c.now}, nil)
}

// play passes so many ticks.
func (c *cell) play(ticks int) {
	for range ticks {
		c.now = c.now.Add(tick)
		for id := range c.state.executors {
			rep := Report{RequestedAt: c.now, Ends: c.ends[id]}
			delete(c.ends, id)
			for k, s := range c.running {
				if s.Executor == id {
					c.percent[k] = min(c.percent[k]+c.perTick, 100)
					rep.Runs = append(rep.Runs, model.Run{Task: k.task, Number: k.number, Percent: int(c.percent[k])})
				}
			}
			c.state.Reported(c.now, id, rep)
		}
		orders := c.state.Decide(c.now)
		c.moves = append(c.moves, orders.Moves...)
		for _, o := range orders.Stops {
			k := runKey{task: o.Task, number: o.Number}
			delete(c.running, k)
			c.ends[o.Executor] = append(c.ends[o.Executor], model.End{Task: o.Task, Number: o.Number, Outcome: model.RunStopped, Checkpoint: "saved"})
		}
		for _, o := range orders.Starts {
			c.running[runKey{task: o.Task, number: o.Number}] = o
			if o.Checkpoint != "" {
				c.resumed = append(c.resumed, o)
			}
		}
		c.confirm(c.now, orders.Starts)
		c.asked += len(orders.AdviceRequests)
		for _, q := range orders.AdviceRequests {
			tickets := make(map[string]string)
			for _, id := range q.Executors {
				tickets[id] = "ticket"
			}
			c.state.AdviceReceived(c.now, q, tickets, time.Second)
		}
		if j := c.state.jobs["j"]; j != nil {
			c.worst = max(c.worst, j.occurs[0].stages[0].unavailable())
		}
	}
}

// zoneOf counts the running tasks of a job in a zone.
func (c *cell) zoneOf(job, zone string) int {
	n := 0
	for k, s := range c.running {
		if k.task.Job == job && c.state.executors[s.Executor].info.Zone == zone {
			n++
		}
	}
	return n
}

// An operator evacuates a zone with work in it. Long runs with checkpoints and lasting tasks go on
// elsewhere, as far as they can start there; everything else stays, and no task starts there.
func TestEvacuationMovesRuns(t *testing.T) {
	long := model.Step{Count: 6, Checkpoints: true, Estimate: time.Minute}
	with := func(s model.Step, change func(*model.Step)) model.Step {
		change(&s)
		return s
	}
	tests := map[string]struct {
		step    model.Step
		queue   string  // "urgent" if empty
		room    int     // tasks that fit on each of two executors elsewhere
		perTick float64 // progress, 0.17 if zero
		ticks   int     // for which the zone is evacuated, 60 if zero
		waits   *model.Step
		stay    int // tasks that are still in the zone at the end
		worst   int // tasks that may be unavailable at a time, if any
	}{
		"long":                {step: long, room: 8},
		"long, advised":       {step: long, queue: "advised", room: 8},
		"little room":         {step: long, room: 1, stay: 4},
		"no room":             {step: long, room: 0, stay: 6},
		"short":               {step: with(long, func(s *model.Step) { s.Estimate = 3 * time.Second }), perTick: 3.4, ticks: 15, room: 8, stay: 6},
		"without checkpoints": {step: with(long, func(s *model.Step) { s.Checkpoints = false }), room: 8, stay: 6},
		"with a label":        {step: with(long, func(s *model.Step) { s.Label = "only" }), room: 8, stay: 6},
		"data in the zone":    {step: with(long, func(s *model.Step) { s.Rack = "z" }), room: 8},
		"work waits":          {step: long, room: 8, waits: &model.Step{Count: 1, Spread: 1, Gang: true, Label: "none"}, stay: 6},
		"work waits for zone": {step: long, room: 8, waits: &model.Step{Count: 1, Label: "only"}},
		"gang":                {step: with(long, func(s *model.Step) { s.Gang = true }), room: 8},
		"gang, little room":   {step: with(long, func(s *model.Step) { s.Gang = true }), room: 2, stay: 6},
		"gang, rack too full": {step: with(long, func(s *model.Step) { s.Gang, s.SameRack = true, true }), room: 2, stay: 6},
		"lasting":             {step: model.Step{Count: 6, Lasting: true, Tolerate: 2}, perTick: 25, room: 8, worst: 2},
		"lasting, intolerant": {step: model.Step{Count: 6, Lasting: true}, perTick: 25, room: 8, stay: 6},
		"lasting, not begun":  {step: model.Step{Count: 6, Lasting: true, Tolerate: 5}, perTick: 0.01, room: 8, stay: 6},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(cmp.Or(tt.perTick, 0.17))
			c.addZone("z", 2, 3, "only", "z")
			c.submit("j", cmp.Or(tt.queue, "urgent"), tt.step)
			c.play(10)
			is.Equal(c.zoneOf("j", "z"), 6)
			c.addZone("y", 2, tt.room, "other", "y")
			c.worst = 0
			c.state.SetEvacuated([]string{"z"})
			if tt.waits != nil {
				c.submit("waits", "urgent", *tt.waits)
			}
			c.play(cmp.Or(tt.ticks, 60))
			is.Equal(c.zoneOf("j", "z"), tt.stay)
			is.Equal(c.state.RunsInEvacuated(), tt.stay)
			is.Equal(len(c.moves), 6-tt.stay)
			is.Equal(c.zoneOf("j", "y"), 6-tt.stay)
			for _, s := range c.resumed {
				is.Equal(c.state.executors[s.Executor].info.Zone, "y")
			}
			is.Equal(len(c.resumed), len(c.moves))
			is.True(tt.worst == 0 || c.worst == tt.worst)
		})
	}
}

// The executors of a zone get work again when its evacuation is withdrawn. Zones that are
// evacuated in turn don't keep tasks from their work, since a task stays where it is for a while
// after each move.
func TestZonesAreEvacuatedInTurn(t *testing.T) {
	is := is.New(t)
	c := newCell(0.01)
	c.addZone("y", 1, 1, "y")
	c.addZone("z", 1, 1, "z")
	c.submit("j", "urgent", model.Step{Count: 1, Checkpoints: true, Estimate: time.Hour})
	for range 20 {
		c.state.SetEvacuated([]string{"z"})
		c.play(20)
		c.state.SetEvacuated([]string{"y"})
		c.play(20)
	}
	is.True(len(c.moves) >= 2 && len(c.moves) <= 4) // 80 s allow for moves after 10, 30 and 70 s.
	is.Equal(len(c.running), 1)
}

// A step that can only run in an evacuated zone waits, and the log gives the evacuation as its
// reason. A step that waits for room elsewhere doesn't.
func TestWaitForEvacuatedZone(t *testing.T) {
	tests := map[string]struct {
		step   model.Step
		reason string
	}{
		"label of the zone":      {step: model.Step{Count: 1, Label: "only"}, reason: "evacuated"},
		"too large for the rest": {step: model.Step{Count: 5, Gang: true}, reason: "evacuated"},
		"fits nowhere":           {step: model.Step{Count: 9, Gang: true}, reason: "room"},
		"elsewhere":              {step: model.Step{Count: 6}, reason: "room"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := newCell(0)
			c.addZone("z", 1, 4, "only")
			c.addZone("y", 1, 4)
			c.state.SetEvacuated([]string{"z"})
			c.submit("j", "urgent", tt.step)
			c.play(40)
			is.Equal(c.zoneOf("j", "z"), 0)
			waits := c.state.LongWaits(c.now)
			is.Equal(len(waits), 1)
			is.Equal(waits[0].Reason, tt.reason)
		})
	}
}

// The owner is lost right after it has ordered runs to stop, and the stops got lost with it. Its
// successor reads what was recorded and asks the executors. Under it each task runs once, and in
// the end outside of the zone.
func TestOwnerIsLostDuringMove(t *testing.T) {
	is := is.New(t)
	c := newCell(0.17)
	c.addZone("z", 2, 3)
	c.submit("j", "urgent", model.Step{Count: 6, Checkpoints: true, Estimate: time.Minute})
	c.play(10)
	c.addZone("y", 2, 3)
	c.state.SetEvacuated([]string{"z"})
	c.now = c.now.Add(tick)
	is.Equal(len(c.state.Decide(c.now).Moves), maxMovesPerSweep)
	lost := c.state
	c.state = New(c.config, WithRunNumberBase(1000))
	c.state.SetEvacuated([]string{"z"})
	for _, e := range lost.executors {
		c.state.SetExecutor(e.info)
	}
	c.state.AllExecutorsListed(c.now)
	c.state.AddJob(c.now, lost.jobs["j"].spec, lost.jobs["j"].progress())
	for range 60 {
		c.play(1)
		tasks := make(map[model.Task]bool)
		for k := range c.running {
			is.True(!tasks[k.task])
			tasks[k.task] = true
		}
	}
	is.Equal(c.zoneOf("j", "y"), 6)
}

// An executor is lost after its runs were ordered to move. Their tasks start elsewhere only once
// its leases have ended, and the capacity that the moves claimed is free for others then.
func TestExecutorIsLostDuringMove(t *testing.T) {
	is := is.New(t)
	c := newCell(0.17)
	c.addZone("z", 1, 3)
	c.submit("j", "urgent", model.Step{Count: 3, Checkpoints: true, Estimate: time.Minute})
	c.play(10)
	c.addZone("y", 1, 3)
	c.state.SetEvacuated([]string{"z"})
	c.now = c.now.Add(tick)
	is.Equal(len(c.state.Decide(c.now).Moves), 3)
	c.state.Silent(c.now, "z-0")
	for range 30 {
		c.now = c.now.Add(tick)
		orders := c.state.Decide(c.now)
		is.Equal(len(orders.Starts)+len(orders.Stops), 0)
	}
	c.state.RemoveRuns("z-0")
	is.Equal(len(c.state.Decide(c.now).Starts), 3)
	c.now = c.now.Add(tick)
	c.state.Decide(c.now)
	is.Equal(len(c.state.pendingMoves), 0)
}

// Hundreds of steps can't leave the zone, and a sweep looks at a part of them only. The one that
// can leave does so all the same, though it comes last.
func TestStuckStepsHoldNoneBack(t *testing.T) {
	is := is.New(t)
	c := newCell(0.17)
	c.addZone("z", 1, 201, "only")
	for i := range 200 {
		c.submit(fmt.Sprint("first", i), "urgent", model.Step{Count: 1, Checkpoints: true, Label: "only", Estimate: time.Hour})
	}
	c.submit("last", "urgent", model.Step{Count: 1, Checkpoints: true, Estimate: time.Minute})
	c.play(10)
	c.addZone("y", 1, 201)
	c.state.SetEvacuated([]string{"z"})
	c.play(10)
	is.Equal(len(c.moves), 1)
	is.Equal(c.zoneOf("last", "y"), 1)
}

// A step in the zone needs tickets, and the adviser allows it nowhere else or its tasks find no
// room there. The adviser isn't asked again and again.
func TestMovesAskAdviserSeldom(t *testing.T) {
	is := is.New(t)
	c := newCell(0.17)
	c.addZone("z", 1, 8)
	c.submit("j", "advised", model.Step{Count: 8, Gang: true, Checkpoints: true, Estimate: time.Minute})
	c.play(10)
	c.addZone("y", 1, 7)
	c.state.SetEvacuated([]string{"z"})
	c.asked = 0
	c.play(300)
	is.True(c.asked >= 2 && c.asked <= 6)
	is.Equal(len(c.moves), 0)
}

// A step may have two tasks on one executor, and one of them runs outside of the zone already. Of
// the two in the zone one can go there, and the other one stays at work.
func TestMovesKeepSpread(t *testing.T) {
	is := is.New(t)
	c := newCell(0.17)
	c.addZone("y", 1, 8)
	c.addZone("z", 1, 8)
	c.submit("j", "urgent", model.Step{Count: 3, Spread: 2, Checkpoints: true, Estimate: time.Minute})
	c.play(10)
	from, to := "y", "z"
	if c.zoneOf("j", from) == 1 {
		from, to = to, from
	}
	c.state.SetEvacuated([]string{from})
	c.play(20)
	is.Equal(c.zoneOf("j", from), 1)
	is.Equal(c.zoneOf("j", to), 2)
}

// Zones are evacuated at random while jobs of all kinds come. No task runs twice, no executor is
// over its capacity, nothing starts in an evacuated zone, and moves keep within Tolerate.
func TestRandomEvacuations(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := newCell(rapid.SampledFrom([]float64{0.5, 5, 25}).Draw(rt, "progress"))
		zones := []string{"x", "y", "z"}
		for _, z := range zones {
			c.addZone(z, 2, rapid.IntRange(3, 12).Draw(rt, "room"), z)
		}
		for i := range rapid.IntRange(5, 40).Draw(rt, "rounds") {
			if rapid.IntRange(0, 3).Draw(rt, "change") == 0 {
				c.state.SetEvacuated(zones[rapid.IntRange(0, 3).Draw(rt, "from"):])
			}
			if i < 6 {
				c.submit(fmt.Sprint(i), rapid.SampledFrom([]string{"urgent", "bulk", "advised"}).Draw(rt, "queue"), model.Step{
					Count: rapid.IntRange(1, 6).Draw(rt, "count"), Spread: rapid.IntRange(0, 2).Draw(rt, "spread"), Tolerate: rapid.IntRange(0, 3).Draw(rt, "tolerate"),
					Checkpoints: rapid.Bool().Draw(rt, "checkpoints"), Lasting: rapid.Bool().Draw(rt, "lasting"), Gang: rapid.Bool().Draw(rt, "gang"), Estimate: time.Minute,
				})
			}
			for range 5 {
				before := len(c.moves)
				c.play(1)
				tasks, used := make(map[model.Task]bool), make(map[string]int64)
				for k, o := range c.running {
					e := c.state.executors[o.Executor]
					if used[o.Executor] += oneCore.CPU; used[o.Executor] > e.info.Room.CPU || tasks[k.task] {
						rt.Fatalf("task twice, or executor over its capacity: %v", o)
					}
					tasks[k.task] = true
					if r := e.runs[k]; r != nil && r.startedAt.Equal(c.now) && c.state.evacuated[e.info.Zone] {
						rt.Fatalf("start in an evacuated zone: %v", o)
					}
				}
				for _, m := range c.moves[before:] {
					st := c.state.stageOf(m.Task)
					if st.spec.Lasting && st.unavailable() > st.spec.Tolerate || !st.spec.Lasting && !st.spec.Checkpoints {
						rt.Fatalf("%d tasks unavailable after %v", st.unavailable(), m)
					}
				}
			}
		}
	})
}
