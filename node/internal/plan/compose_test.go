package plan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/model"
)

// advisedLoad replays a load of long tasks on executors that stay full, with an adviser that allows
// a third of the executors for each step. Each slot is one host with one request at a time.
type advisedLoad struct {
	state        *State
	now          time.Time
	rand         *rand.Rand
	jobs         int
	total        int64 // capacity
	used         int64 // now
	usedTime     float64
	events       []event
	calls, named int
	lostCalls    int // each call of that number gets no answer; 0 for none
}

// event is something that happens at a time.
type event struct {
	at       time.Time
	executor string // on which a run ends, or empty
	do       func()
}

// heavyQueue has the figures that were measured for an adviser.
var heavyQueue = model.Queue{
	Name: "heavy", Service: "s", Priority: 2, Attempts: 2, Stretch: 20, Slack: time.Minute, Advised: true,
	Decide: 494 * time.Millisecond, Each: 7150 * time.Microsecond, Valid: 2500 * time.Millisecond,
}

func newAdvisedLoad(executors, slots int) *advisedLoad {
	config := model.NewConfig(1, append([]model.Queue{heavyQueue}, queues...), []model.Service{{Name: "s"}}, []model.Team{{Name: "t", Weight: 1000}})
	l := &advisedLoad{state: New(config), now: epoch, rand: rand.New(rand.NewPCG(3, 4))}
	l.state.SetAdviceSlots(slots)
	for i := range executors {
		room := model.Amount{CPU: int64(16000 << (i % 3)), Memory: 1 << 30}
		l.total += room.CPU / 9000 * 9000 // Whole tasks fit.
		id := fmt.Sprintf("e%03d", i)
		l.state.SetExecutor(model.Executor{ID: id, Service: "s", Room: room, Kind: "a", Rack: "r", Zone: fmt.Sprintf("z%d", i%6)})
		l.state.Reported(l.now, id, Report{RequestedAt: l.now})
	}
	l.state.AllExecutorsListed(l.now)
	return l
}

func (l *advisedLoad) submit(tasks int) {
	l.jobs++
	step := model.Step{Count: tasks, Need: model.Amount{CPU: 9000, Memory: 1}, Estimate: time.Duration(2000+l.rand.IntN(4000)) * time.Millisecond}
	l.state.AddJob(l.now, &model.Job{ID: fmt.Sprintf("%06d", l.jobs), Queue: "heavy", Team: "t", Steps: []model.Step{step}, Sent: l.now}, nil)
}

// run makes decisions until end, and keeps so many tasks waiting.
func (l *advisedLoad) run(end time.Time, waiting int) {
	const interval = 10 * time.Millisecond
	for ; l.now.Before(end); l.now = l.now.Add(interval) {
		l.events = slices.DeleteFunc(l.events, func(e event) bool {
			if !e.at.After(l.now) {
				e.do()
				return true
			}
			return false
		})
		if l.state.Waiting() < waiting {
			l.submit(4 + l.rand.IntN(12))
		}
		orders := l.state.Decide(l.now)
		for _, o := range orders.Starts {
			l.start(o)
		}
		for _, q := range orders.AdviceRequests {
			l.ask(q)
		}
		l.usedTime += float64(l.used) / float64(l.total) * interval.Seconds()
	}
}

func (l *advisedLoad) start(o Start) {
	st := l.state.stageOf(o.Task)
	l.used += st.spec.Need.CPU
	l.state.Started(l.now, o)
	l.events = append(l.events, event{at: l.now.Add(st.spec.Estimate), executor: o.Executor, do: func() {
		l.used -= st.spec.Need.CPU
		l.state.Reported(l.now, o.Executor, Report{RequestedAt: l.now.Add(-time.Second), More: true, Ends: []model.End{{Seq: 1, Task: o.Task, Number: o.Number, Outcome: model.RunDone}}})
	}})
}

func (l *advisedLoad) ask(q AdviceRequest) {
	l.calls++
	l.named += len(q.Executors)
	if l.lostCalls > 0 && l.calls%l.lostCalls == 0 {
		return
	}
	l.events = append(l.events, event{at: l.now.Add(heavyQueue.Decide + time.Duration(len(q.Executors))*heavyQueue.Each), do: func() {
		tickets := make(map[string]string)
		for _, id := range q.Executors {
			if xxhash.Sum64String(q.Step.Job+id)%3 == 0 {
				tickets[id] = "ticket"
			}
		}
		l.state.AdviceReceived(l.now, q, tickets, heavyQueue.Valid)
	}})
}

// While all executors were nearly full, requests named the few that had capacity, and other stages
// had taken that capacity when the answer came. A tenth and more of the capacity stayed unused
// though enough work waited.
func TestFullExecutorsAreNotAskedAbout(t *testing.T) {
	tests := map[string]struct {
		lostCalls int
		least     float64
	}{
		"all calls are answered":    {least: 0.9}, // 0.74 without full executors in requests.
		"one in ten gets no answer": {lostCalls: 10, least: 0.6},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l := newAdvisedLoad(60, 5)
			l.lostCalls = tt.lostCalls
			l.run(epoch.Add(10*time.Second), 300)
			l.usedTime, l.calls, l.named = 0, 0, 0
			l.run(epoch.Add(40*time.Second), 300)
			used := l.usedTime / 30
			t.Logf("used %.3f of the capacity with %d calls that named %d executors", used, l.calls, l.named)
			is.New(t).True(used > tt.least)
		})
	}
}

// After a zone had come back, its executors stayed half empty for seconds, since steps had few tickets
// for them, and renewed those for full executors first.
func TestZoneComesBackEmpty(t *testing.T) {
	is := is.New(t)
	const rounds, limit = 16, 10 * time.Second
	var total time.Duration
	for range rounds { // Maps are gone over in another order each time.
		l := newAdvisedLoad(60, 5)
		l.run(epoch.Add(10*time.Second), 300)
		var zone []string
		capacity := int64(0)
		for id, e := range l.state.executors {
			if e.info.Zone == "z0" {
				zone = append(zone, id)
				capacity += e.info.Room.CPU / 9000 * 9000
			}
		}
		l.lose(zone)
		l.run(epoch.Add(15*time.Second), 300)
		for _, id := range zone {
			l.state.Reported(l.now, id, Report{RequestedAt: l.now})
		}
		back := l.now
		for l.usedOn(zone) < capacity*8/10 && l.now.Before(back.Add(limit)) {
			l.run(l.now.Add(10*time.Millisecond), 300)
		}
		total += l.now.Sub(back)
	}
	t.Logf("eight tenths used after %v on average", total/rounds)
	is.True(total/rounds < 2700*time.Millisecond) // 3.2 to 3.6 s without full executors in requests.
}

// lose makes executors silent whose runs are gone.
func (l *advisedLoad) lose(ids []string) {
	for _, id := range ids {
		for _, r := range l.state.executors[id].runs {
			l.used -= r.reserved.CPU
		}
		l.state.Silent(l.now, id)
		l.state.RemoveRuns(id)
	}
	l.events = slices.DeleteFunc(l.events, func(e event) bool { return slices.Contains(ids, e.executor) })
}

// usedOn returns what is used on executors.
func (l *advisedLoad) usedOn(ids []string) int64 {
	used := int64(0)
	for _, id := range ids {
		used += l.state.executors[id].used.CPU
	}
	return used
}

// crowd returns a fixture with executors, on each of which full is taken, and one step that waits.
func crowd(n int, full model.Amount, step model.Step) *fixture {
	f := newFixture()
	for i := range n {
		f.addReady(fmt.Sprintf("e%03d", i))
	}
	f.state.AddJob(epoch, f.job("running", model.Step{Count: n, Need: full, Spread: 1}), nil)
	f.confirm(epoch, f.state.Decide(epoch).Starts)
	f.addAdvised("j", "advised", epoch, step)
	return f
}

// Requests without a backlog must stay small, since each executor makes the answer come later.
// Under a backlog they name executors that are full, those known to be allowed first.
func TestRequestFollowsBacklog(t *testing.T) {
	tests := map[string]struct {
		used        model.Amount
		tasks       int
		limited     bool // a team that is at its limit has thousands of tasks waiting
		least, most int
	}{
		"idle executors": {used: oneCore, tasks: 8, least: 1, most: 10},
		"limited team":   {used: oneCore, tasks: 8, limited: true, least: 1, most: 10},
		"backlog":        {used: fullExecutor, tasks: 200, least: maxExecutorsUnderBacklog, most: maxExecutorsUnderBacklog},
		"small backlog":  {used: fullExecutor, tasks: 4, least: 12, most: 40},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := crowd(150, tt.used, model.Step{Count: tt.tasks, Need: model.Amount{CPU: 8000, Memory: 100}, Estimate: time.Hour})
			if tt.limited {
				f.state.AddJob(epoch, &model.Job{ID: "l", Queue: "bulk", Team: "capped", Steps: []model.Step{{Count: 9000, Need: oneCore}}, Sent: epoch}, nil)
				f.state.AdviceFailed(epoch, f.state.Decide(epoch).AdviceRequests[0])
			}
			requests := f.state.Decide(epoch.Add(failedRequestBackoff)).AdviceRequests
			is.Equal(len(requests), 1)
			is.True(len(requests[0].Executors) >= tt.least)
			is.True(len(requests[0].Executors) <= tt.most)
		})
	}
}

// Tickets of a stage that still needs them expired before they were renewed, and the renewal
// named executors that had never been asked about before those known to be allowed.
func TestTicketsAreRenewedInTime(t *testing.T) {
	is := is.New(t)
	f := crowd(120, fullExecutor, model.Step{Count: 20, Need: model.Amount{CPU: 8000, Memory: 100}, Estimate: time.Hour})
	first := f.state.Decide(epoch).AdviceRequests[0]
	tickets := make(map[string]string)
	for i, id := range first.Executors {
		if i%3 == 0 {
			tickets[id] = "ticket"
		}
	}
	f.state.AdviceReceived(epoch, first, tickets, 2*time.Second)
	renewed := time.Duration(0)
	for now := epoch; renewed == 0; now = now.Add(10 * time.Millisecond) {
		is.True(now.Before(epoch.Add(2 * time.Second)))
		for _, q := range f.state.Decide(now).AdviceRequests {
			if tickets[q.Executors[0]] != "" {
				renewed = now.Sub(epoch)
				for _, id := range q.Executors[:len(tickets)] {
					is.Equal(tickets[id], "ticket")
				}
			}
			f.state.AdviceReceived(now, q, nil, 2*time.Second)
		}
	}
	is.True(renewed > 500*time.Millisecond)
	is.True(renewed+heavyQueue.Decide < 2*time.Second)
}

// The tickets of a gang's executors were renewed one by one, so that they were never valid at once.
func TestGangRenewsItsTicketsAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	f.addReady("a", "b")
	f.addAdvised("j", "advised", epoch, model.Step{Count: 2, Need: fullExecutor, Gang: true, Estimate: time.Hour})
	q := f.state.Decide(epoch).AdviceRequests[0]
	is.Equal(len(q.Executors), 2)
	q.Executors = []string{"a"} // The adviser answered for one of them.
	f.state.AdviceReceived(epoch, q, map[string]string{"a": "ticket"}, 2*time.Second)
	requests := f.state.Decide(epoch.Add(failedRequestBackoff)).AdviceRequests
	is.Equal(len(requests), 1)
	is.Equal(len(requests[0].Executors), 2)
}

// Stages far back in the order named full executors, whose capacity stages before them would use.
func TestStageFarBackIsNotNextInOrder(t *testing.T) {
	is := is.New(t)
	f := crowd(10, fullExecutor, model.Step{Count: 1, Need: oneCore})
	f.state.Decide(epoch)
	p := f.state.newPool("s", epoch)
	p.supply = f.state.newSupply(p, f.state.waitingStages(epoch))
	is.True(p.supply.backlogged())
	is.True(p.supply.nextInOrder(3 * time.Second))
	p.supply.ahead = 10 * fullExecutor.CPU // It takes 5 s until so much has become free.
	is.True(!p.supply.nextInOrder(3 * time.Second))
}
