package plan

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/balsamford/balsamford/coord/model"
)

// A burst leaves a backlog: all executors are full, and thousands of tasks of many stages
// wait. A decision then places a few tasks where runs have just ended.

// backlog is a State with full executors and waiting stages.
type backlog struct {
	fixture *fixture
	now     time.Time
	rand    *rand.Rand
	running []Start // in the order of their starts
	jobs    int
	late    bool // answers of the adviser come after the expected time instead of at once
	asked   []pendingAnswer
	took    []time.Duration // by each decision alone
}

// pendingAnswer is a request with the time at which it is answered.
type pendingAnswer struct {
	request AdviceRequest
	at      time.Time
}

// newBacklog returns a backlog of stages with waiting tasks on so many executors.
func newBacklog(executors, waiting int, late bool, queues ...string) *backlog {
	b := &backlog{late: late, fixture: newFixture(), now: epoch, rand: rand.New(rand.NewPCG(1, 2))}
	s := b.fixture.state
	s.SetAdviceSlots(executors / 6)
	for i := range executors {
		s.SetExecutor(model.Executor{
			ID: fmt.Sprintf("e%04d", i), Service: "s", Room: fullExecutor, Kind: string(rune('a' + i%3)), Rack: fmt.Sprintf("r%d", i/20),
			Zone: fmt.Sprintf("z%d", i*6/executors), Labels: []string{"a"},
		})
		s.Reported(epoch, fmt.Sprintf("e%04d", i), Report{RequestedAt: epoch})
	}
	s.AllExecutorsListed(epoch)
	const perExecutor = 4 // tasks that run on an executor on average
	for n := 0; n < waiting+perExecutor*executors; {
		n += b.submit(queues[b.jobs%len(queues)])
	}
	for range 60 { // Until the executors are full.
		b.now = b.now.Add(50 * time.Millisecond)
		b.decide()
	}
	return b
}

// submit adds a job with one step of some tasks and returns their number.
func (b *backlog) submit(queue string) int {
	b.jobs++
	step := model.Step{
		Count: 4 + b.rand.IntN(12), Need: model.Amount{CPU: int64(3000 + b.rand.IntN(9000)), Memory: 1000}, Estimate: time.Duration(800+b.rand.IntN(6000)) * time.Millisecond,
	}
	if b.rand.IntN(3) == 0 {
		step.Rack = fmt.Sprintf("r%d", b.rand.IntN(20))
	}
	j := &model.Job{ID: fmt.Sprintf("%016x", b.jobs), Queue: queue, Team: fmt.Sprintf("t%d", b.jobs%29), Steps: []model.Step{step}, Sent: b.now}
	b.fixture.state.AddJob(b.now, j, nil)
	return step.Count
}

// decide makes a decision, confirms its starts and answers its requests to the adviser.
func (b *backlog) decide() {
	s := b.fixture.state
	began := time.Now()
	orders := s.Decide(b.now)
	b.took = append(b.took, time.Since(began))
	b.fixture.confirm(b.now, orders.Starts)
	b.running = append(b.running, orders.Starts...)
	for _, q := range orders.AdviceRequests {
		at := b.now
		if b.late {
			at = at.Add(q.EstimatedTime)
		}
		b.asked = append(b.asked, pendingAnswer{request: q, at: at})
	}
	b.asked = slices.DeleteFunc(b.asked, func(p pendingAnswer) bool {
		if p.at.After(b.now) {
			return false
		}
		q := p.request
		tickets := make(map[string]string)
		for _, id := range q.Executors {
			if b.rand.IntN(3) == 0 {
				tickets[id] = "ticket"
			}
		}
		s.AdviceReceived(b.now, q, tickets, 2*time.Second)
		return true
	})
}

// end ends the n runs that started first.
func (b *backlog) end(n int) {
	n = min(n, len(b.running))
	for _, o := range b.running[:n] {
		b.fixture.state.Reported(b.now, o.Executor, Report{RequestedAt: b.now.Add(-time.Second), More: true, Ends: []model.End{{Seq: 1, Task: o.Task, Number: o.Number, Outcome: model.RunDone}}})
	}
	b.running = slices.Delete(b.running, 0, n)
}

// round is one decision of the owner under load: some runs have ended and a job has come.
func (b *backlog) round(queue string) {
	const endsPerRound = 9 // 850 a second, 10 ms a round
	b.now = b.now.Add(10 * time.Millisecond)
	b.end(endsPerRound)
	b.submit(queue)
	b.decide()
}

func BenchmarkDecide(b *testing.B) {
	tests := map[string]struct {
		executors, waiting int
		queue              string
		late               bool
	}{
		"350 executors, 9000 tasks wait":          {350, 9000, "urgent", false},
		"350 executors, 9000 tasks wait, advised": {350, 9000, "advised", true},
		"540 executors, 400 tasks wait":           {540, 400, "urgent", false},
		"540 executors, 4000 tasks wait":          {540, 4000, "urgent", false},
		"540 executors, 4000 tasks wait, advised": {540, 4000, "advised", false},
		"2000 executors, 4000 tasks wait":         {2000, 4000, "urgent", false},
	}
	for name, tt := range tests {
		b.Run(name, func(b *testing.B) {
			load := newBacklog(tt.executors, tt.waiting, tt.late, tt.queue)
			took := make([]time.Duration, 0, b.N)
			load.took = nil
			b.ResetTimer()
			for range b.N {
				began := time.Now()
				load.round(tt.queue)
				took = append(took, time.Since(began))
			}
			slices.Sort(took)
			slices.Sort(load.took)
			b.ReportMetric(float64(load.took[len(load.took)*99/100].Microseconds()), "decide-p99-µs")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
			b.ReportMetric(float64(load.fixture.state.Waiting()), "waiting")
			b.ReportMetric(float64(len(load.running)), "running")
		})
	}
}

// The sweep of feasible.go goes over all waiting jobs each 100 ms, between which ten decisions are made.
func BenchmarkMarkJobs(b *testing.B) {
	load := newBacklog(350, 9000, false, "urgent", "bulk")
	s := load.fixture.state
	took := make([]time.Duration, 0, b.N)
	deferred := 0
	for range b.N {
		for k := range 10 {
			load.round([]string{"urgent", "bulk"}[k%2])
		}
		began := time.Now()
		s.markJobs(load.now)
		took = append(took, time.Since(began))
		deferred += s.Deferred()
	}
	slices.Sort(took)
	b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-µs")
	b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-µs")
	b.ReportMetric(float64(len(s.candidates)), "jobs")
	b.ReportMetric(float64(deferred)/float64(b.N), "deferred")
}
