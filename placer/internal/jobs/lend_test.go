package jobs

import (
	"context"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/desk"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// lentJob is a batch job all of whose tasks wait at other placers.
type lentJob struct {
	id    string
	epoch uint64
	tasks [gangTasks]struct {
		next uint32 // attempt
		sent *desk.Order
		done bool
	}
}

var lenders = []string{"p", "q", "r"}

// word asks one placer for room and has what has room started there.
func (m *gangModel) word(j *lentJob, placer string) {
	item := sched.Item{ID: j.id, Team: "t", Attempt: 1, Needs: wire.Needs{CPU: 1}}
	var numbers []int
	over := !m.faulty || rapid.IntRange(0, 3).Draw(m.t, "over") == 0
	for n := range j.tasks {
		t := &j.tasks[n]
		if lenders[n%len(lenders)] != placer || t.done {
			continue
		}
		if t.sent != nil {
			if over {
				m.finish(j, n)
			}
			continue
		}
		numbers = append(numbers, n)
		item.Attempt = max(item.Attempt, t.next)
	}
	b := newBook(&item, j.epoch, numbers)
	b.Drop = len(numbers) == 0 && m.faulty
	out, _ := m.tell(context.Background(), placer, &note{Loans: []*book{b}})
	in := &launch{ID: j.id, Epoch: j.epoch, Attempt: b.Attempt}
	for i := range out.Kept {
		o := out.Kept[i].order(b)
		o.Kind = wire.Batch
		t := &j.tasks[o.Task]
		t.sent, t.next = &o, o.Attempt+1
		in.Numbers = append(in.Numbers, o.Task)
	}
	if len(in.Numbers) > 0 {
		_, _ = m.tell(context.Background(), placer, &note{Launch: in})
	}
}

// finish ends a task that runs, or lets it wait again if it doesn't and won't.
func (m *gangModel) finish(j *lentJob, n int) {
	o := *j.tasks[n].sent
	h, name := m.hosts[o.Endpoint], desk.TaskID(o.ID, o.Task)
	h.barred[name] = max(h.barred[name], o.Attempt)
	if _, ok := h.runs[name]; ok {
		delete(h.runs, name)
		h.Desk.Ended(o, true)
		j.tasks[n].done = true
	}
	j.tasks[n].sent = nil
}

// giveUp ends what waits of a job. Its driver says nothing of that.
func (m *gangModel) giveUp(j *lentJob) {
	for n := range j.tasks {
		if j.tasks[n].sent == nil {
			j.tasks[n].done = true
		}
	}
}

// Whatever is lost, late, doubled, paused or killed, each task of batch jobs
// that wait at other placers runs once, and no part of a limit is passed.
func TestLentTasksRunOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newGangs(t)
		m.gangs = nil
		list := []*lentJob{{id: "a.0", epoch: 1}, {id: "a.1", epoch: 1}}
		job := func() *lentJob { return rapid.SampledFrom(list).Draw(t, "job") }
		name := func() string { return rapid.SampledFrom(lenders).Draw(t, "placer") }
		goOn := func(times int) {
			for range times {
				for _, at := range lenders {
					m.hosts[at].Schedule()
					for _, j := range list {
						m.word(j, at)
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"go on":       func(*rapid.T) { goOn(2) },
			"give up":     func(*rapid.T) { m.giveUp(job()) },
			"word":        func(*rapid.T) { m.word(job(), name()) },
			"decide":      func(*rapid.T) { m.hosts[name()].Schedule() },
			"kill driver": func(*rapid.T) { job().epoch++ },
			"kill owner":  func(*rapid.T) { m.restart(name()) },
			"late word": func(t *rapid.T) {
				if len(m.late) == 0 {
					t.Skip("none is under way")
				}
				i := rapid.IntRange(0, len(m.late)-1).Draw(t, "word")
				say := m.late[i]
				m.late = slices.Delete(m.late, i, i+1)
				say()
			},
			"time": func(*rapid.T) { m.wait(rapid.SampledFrom([]time.Duration{pause, bookTime}).Draw(t, "time")) },
		})
		m.faulty = false
		for range 60 {
			m.wait(pause)
			goOn(1)
		}
		for _, j := range list {
			for n := range j.tasks {
				if !j.tasks[n].done {
					t.Fatalf("%s/%d waits for ever", j.id, n)
				}
			}
		}
		m.wait(bookTime)
		for at, h := range m.hosts {
			h.Schedule()
			if h.part.taken != 0 {
				t.Fatalf("%s keeps room for %d tasks that are over", at, h.part.taken)
			}
		}
	})
}
