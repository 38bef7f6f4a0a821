package jobs

import (
	"context"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/queue"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// offloadedJob is a batch job all of whose tasks are offloaded.
type offloadedJob struct {
	id    string
	epoch uint64
	tasks [gangTasks]struct {
		next uint32 // attempt
		sent *queue.Order
		done bool
	}
}

var placerNames = []string{"p", "q", "r"}

// poll asks one placer for capacity and has it start the tasks that got some, as
// Driver.pollOffloads does.
func (m *gangModel) poll(j *offloadedJob, placer string) {
	item := sched.Item{ID: j.id, Team: "t", Attempt: 1, Needs: wire.Needs{CPU: 1}}
	var numbers []int
	finish := !m.faulty || rapid.IntRange(0, 3).Draw(m.t, "over") == 0
	for n := range j.tasks {
		t := &j.tasks[n]
		if placerNames[n%len(placerNames)] != placer || t.done {
			continue
		}
		if t.sent != nil {
			if finish {
				m.finishTask(j, n)
			}
			continue
		}
		numbers = append(numbers, n)
		item.Attempt = max(item.Attempt, t.next)
	}
	req := newReserveRequest(&item, j.epoch, numbers)
	req.Release = len(numbers) == 0 && m.faulty
	out, _ := m.send(context.Background(), placer, &peerRequest{Offloads: []*reserveRequest{req}})
	in := &launchRequest{ID: j.id, Epoch: j.epoch, Attempt: req.Attempt}
	for i := range out.Grants {
		o := out.Grants[i].order(req)
		o.Kind = wire.Batch
		t := &j.tasks[o.Task]
		t.sent, t.next = &o, o.Attempt+1
		in.Numbers = append(in.Numbers, o.Task)
	}
	if len(in.Numbers) > 0 {
		_, _ = m.send(context.Background(), placer, &peerRequest{Launch: in})
	}
}

// finishTask ends a running task, or makes it wait again if it doesn't run and can no
// longer start.
func (m *gangModel) finishTask(j *offloadedJob, n int) {
	o := *j.tasks[n].sent
	p, name := m.placers[o.Endpoint], queue.TaskID(o.ID, o.Task)
	p.blocked[name] = max(p.blocked[name], o.Attempt)
	if _, ok := p.running[name]; ok {
		delete(p.running, name)
		p.Dispatcher.Ended(o, true)
		j.tasks[n].done = true
	}
	j.tasks[n].sent = nil
}

// abandon ends the waiting tasks of a job without a request that releases them.
func (m *gangModel) abandon(j *offloadedJob) {
	for n := range j.tasks {
		if j.tasks[n].sent == nil {
			j.tasks[n].done = true
		}
	}
}

// Checks offloaded tasks under lost, delayed and duplicated requests and killed
// processes: each task runs once, no limit is exceeded, no task waits for ever, and
// no capacity stays held after the end.
func TestOffloadedTasksRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newGangModel(t)
		m.gangs = nil
		list := []*offloadedJob{{id: "a.0", epoch: 1}, {id: "a.1", epoch: 1}}
		anyJob := func() *offloadedJob { return rapid.SampledFrom(list).Draw(t, "job") }
		anyPlacer := func() string { return rapid.SampledFrom(placerNames).Draw(t, "placer") }
		progress := func(times int) {
			for range times {
				for _, at := range placerNames {
					m.placers[at].Schedule()
					for _, j := range list {
						m.poll(j, at)
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"go on":       func(*rapid.T) { progress(2) },
			"give up":     func(*rapid.T) { m.abandon(anyJob()) },
			"word":        func(*rapid.T) { m.poll(anyJob(), anyPlacer()) },
			"decide":      func(*rapid.T) { m.placers[anyPlacer()].Schedule() },
			"kill driver": func(*rapid.T) { anyJob().epoch++ },
			"kill owner":  func(*rapid.T) { m.restart(anyPlacer()) },
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
				m.advance(rapid.SampledFrom([]time.Duration{retryDelay, reservationTTL}).Draw(t, "time"))
			},
		})
		m.faulty = false
		for range 60 {
			m.advance(retryDelay)
			progress(1)
		}
		for _, j := range list {
			for n := range j.tasks {
				if !j.tasks[n].done {
					t.Fatalf("%s/%d never finished", j.id, n)
				}
			}
		}
		m.advance(reservationTTL)
		for at, p := range m.placers {
			p.Schedule()
			if p.part.taken != 0 {
				t.Fatalf("%s still holds capacity for %d tasks", at, p.part.taken)
			}
		}
	})
}
