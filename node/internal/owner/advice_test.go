package owner

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/node/internal/plan"
	"github.com/balsamford/balsamford/platform"
)

// countingAdviser allows everything, and counts requests by step. The first one for the step of job "late" is answered
// once late is closed, and asked is closed when it comes.
type countingAdviser struct {
	asked, late chan struct{}

	mu    sync.Mutex // guards the field below
	calls map[string]int
}

func (a *countingAdviser) Ask(step model.StepID, executors []string, _ time.Duration) (*platform.Advice, error) {
	a.mu.Lock()
	a.calls[step.Job]++
	waits := step.Job == "late" && a.calls[step.Job] == 1
	a.mu.Unlock()
	if waits {
		close(a.asked)
		<-a.late
	}
	out := &platform.Advice{Tickets: make(map[string]string), Valid: 2 * time.Second}
	for _, id := range executors {
		out.Tickets[id] = "ticket"
	}
	return out, nil
}

// take returns the number of requests since the last call, and the most for one step.
func (a *countingAdviser) take() (all, most int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, n := range a.calls {
		all, most = all+n, max(most, n)
	}
	clear(a.calls)
	return all, most
}

// The store fails while a request to the adviser is on its way. The answer is used, steps are asked about as before, each
// once, and their tasks start, since all executors follow the owner.
func TestAdviceGoesOnWithoutStore(t *testing.T) {
	is := is.New(t)
	tm, clock, sessions := newTermWithExecutors(4)
	store, adviser := &failingStore{}, &countingAdviser{asked: make(chan struct{}), late: make(chan struct{}), calls: make(map[string]int)}
	tm.owner.store, tm.owner.advisers = store, adviser
	advised := model.Queue{Name: "q", Service: "s", Priority: 2, Attempts: 2, Stretch: 2, Slack: time.Minute, Advised: true, Decide: 20 * time.Millisecond, Each: time.Millisecond, Valid: 2 * time.Second}
	tm.plan = plan.New(model.NewConfig(1, []model.Queue{advised}, []model.Service{{Name: "s"}}, nil))
	for _, sess := range sessions {
		sess.info.Room = model.Amount{CPU: 1000000, Memory: 1000000}
		tm.plan.SetExecutor(sess.info)
	}
	for _, name := range []string{"a", "b", "c", "d"} { // Four requests at a time.
		putRow(t, tm.owner.board, board.HostKey(name), board.Host{Name: name})
	}
	tm.plan.AllExecutorsListed(clock.Now())
	r := &recorder{term: tm, row: board.Owner{Epoch: 1, Process: "p"}}
	began, jobs, starts, running := clock.Now(), 0, make(map[string]int), make(map[*session][]model.Run)
	add := func(id string) {
		tm.plan.AddJob(clock.Now(), &model.Job{ID: id, Queue: "q", Steps: []model.Step{{Count: 1, Need: model.Amount{CPU: 1000, Memory: 1}, Estimate: time.Hour}}, Sent: clock.Now()}, nil)
	}
	play := func(d time.Duration) {
		for end := clock.Now().Add(d); clock.Now().Before(end); clock.Advance(10 * time.Millisecond) {
			passed := clock.Now().Sub(began)
			if passed%(100*time.Millisecond) == 0 {
				jobs++
				add(fmt.Sprint("j", jobs))
				for _, sess := range sessions {
					is.True(sess.handleReport(pollAt(sess, clock.Now(), clock.Boot()), &platform.Report{Clock: time.Hour + passed, Runs: running[sess]}))
				}
				sent, b := clock.Boot(), r.collect()
				if r.write(b) == nil {
					tm.confirm(sent, r.row.Authority)
					r.markRecorded(b)
				}
			}
			tm.decideOnce()
			is.NoErr(tm.group.Wait()) // Answers come at once, and the plan gets them before the next decision.
			for _, sess := range sessions {
				for range len(sess.orders) {
					if o := <-sess.orders; o.start != nil {
						starts[o.start.Task.Job]++
						running[sess] = append(running[sess], model.Run{Task: o.start.Task, Number: o.start.Number})
						tm.plan.Started(clock.Now(), *o.start)
					}
				}
			}
		}
	}
	play(3 * time.Second)
	before, _ := adviser.take()
	add("late")
	late := tm.group
	tm.decideOnce()
	<-adviser.asked
	tm.group = &errgroup.Group{}
	store.failing = true
	play(time.Second)
	is.Equal(starts["late"], 0)
	unanswered, most := adviser.take()
	is.Equal(unanswered, before/3+1)
	is.Equal(most, 1)
	close(adviser.late)
	is.NoErr(late.Wait())
	play(2 * time.Second)
	during, most := adviser.take()
	during += unanswered
	is.True(clock.Boot()-tm.writeConfirmed > tm.authority) // The store was missed.
	is.True(before > 0)
	is.Equal(during, before+1)
	is.Equal(most, 1)
	is.Equal(starts["late"], 1)
	is.True(len(starts) >= jobs) // All but the last ones, and "late".
	store.failing = false
	play(3 * time.Second)
	after, most := adviser.take()
	is.Equal(after, before)
	is.Equal(most, 1)
}
