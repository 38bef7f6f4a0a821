package jobs

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/hold"
	"github.com/balsamford/balsamford/placer/internal/queue"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// fakeWorker implements hold.Client and Client.
type fakeWorker struct {
	starts []error // results of the next starts
	stops  atomic.Int64
}

func (*fakeWorker) Open(_ context.Context, _ string, in point.Open) (point.View, error) {
	return point.View{Name: "w", Kind: point.Worker, Owner: in.Owner, Capacity: wire.Needs{CPU: 1000}}, nil
}

func (*fakeWorker) Renew(context.Context, string, point.Renew) (point.Report, error) {
	return point.Report{}, nil
}

func (*fakeWorker) Release(context.Context, string, point.Owner) error { return nil }

func (*fakeWorker) View(context.Context, string) (point.View, error) { return point.View{}, nil }

func (w *fakeWorker) Stop(context.Context, string, point.Stop) error {
	w.stops.Add(1)
	return nil
}

func (w *fakeWorker) Start(context.Context, string, point.Start) error {
	err := w.starts[0]
	w.starts = w.starts[1:]
	return err
}

// singleMember has the placer "p" as the only member.
type singleMember struct{}

func (singleMember) Names() []string { return []string{"p"} }

// newOwningDriver returns a Driver that owns the endpoint "w", and the epoch under which
// it does.
func newOwningDriver(t *testing.T, w *fakeWorker) (*Driver, uint64) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	clock := timer.New()
	g.Go(func() error { return clock.Run(ctx) })
	t.Cleanup(func() { cancel(); _ = g.Wait() })
	k := queue.New(sched.New(sched.WithTimer(clock)))
	keeper := hold.New("p", 1, singleMember{}, w, clock, k)
	d := New("p", "a", Parts{Timer: clock, Queue: k, Owner: keeper, Client: w, Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
	k.Attach(d, keeper)
	keeper.Sync([]hold.Target{{Name: "w", Kind: point.Worker, Address: "w"}})
	g.Go(func() error { return keeper.Run(ctx) })
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if epoch, ok := keeper.Ownership("w").Owned(); ok {
			return d, epoch
		}
	}
	t.Fatal("endpoint not owned within 10 s")
	return nil, 0
}

// After a lost answer the refusal of a repeated start doesn't prove that the task
// doesn't run, so the task must stay in doubt.
func TestRefusalAfterALostAnswerLeavesDoubt(t *testing.T) {
	lost := &point.LostError{Endpoint: "w", Err: context.DeadlineExceeded}
	tests := map[string]struct {
		starts      []error
		live, doubt bool
	}{
		"answered":       {starts: []error{nil}, live: true},
		"refused":        {starts: []error{&point.RefusedError{Reason: wire.ReasonBusy}}},
		"fenced":         {starts: []error{&point.FencedError{}}},
		"lost, answered": {starts: []error{lost, nil}, live: true},
		"lost, refused":  {starts: []error{lost, &point.RefusedError{Reason: wire.ReasonLeaving}}, live: true, doubt: true},
		"lost, fenced":   {starts: []error{lost, &point.FencedError{}}, live: true, doubt: true},
		"always lost":    {starts: []error{lost, lost, lost, lost}, live: true, doubt: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := &fakeWorker{starts: tt.starts}
			d, epoch := newOwningDriver(t, w)
			o := queue.Order{Decision: sched.Decision{ID: "a.1", Endpoint: "w", Attempt: 1, Kind: wire.Batch}, Epoch: epoch}
			j := newJob("a/a.1", &wire.Job{Request: wire.Request{ID: "a.1", Kind: wire.Batch, Tasks: 1}}, 1)
			is.True(j.markSent([]queue.Order{o}))
			d.start(t.Context(), j, o)
			is.Equal(j.tasks[0].live, tt.live)
			is.Equal(j.tasks[0].inDoubt, tt.doubt)
		})
	}
}

// The owner of an endpoint died before it answered a start. While the driver's stop
// request waits for that owner's connection to time out, a new owner opens the endpoint
// and finds the task running. The driver must not stop it then.
func TestTaskThatIsFoundRunningIsNotStopped(t *testing.T) {
	tests := map[string]struct {
		found bool
		stops int64
	}{
		"found running": {found: true, stops: 0},
		"not seen yet":  {found: false, stops: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := &fakeWorker{}
			d, epoch := newOwningDriver(t, w)
			o := queue.Order{Decision: sched.Decision{ID: "a.1", Endpoint: "w", Attempt: 1, Kind: wire.Gang}, Epoch: epoch}
			j := newJob("a/a.1", &wire.Job{Request: wire.Request{ID: "a.1", Kind: wire.Gang, Tasks: 1}}, 1)
			d.mu.Lock()
			d.jobs["a.1"] = j
			d.mu.Unlock()
			is.True(j.markSent([]queue.Order{o}))
			d.handleStartResult(t.Context(), j, o, startResult{})
			list := d.tasksInDoubt()["w"]
			is.Equal(len(list), 1)
			if tt.found {
				d.handleOpened("w", epoch+1, []point.Task{{ID: queue.TaskID("a.1", 0), Attempt: 1, State: point.Running}})
			}
			d.stopUndelivered(t.Context(), list[0])
			is.Equal(w.stops.Load(), tt.stops)
		})
	}
}
