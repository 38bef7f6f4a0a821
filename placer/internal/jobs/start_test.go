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
	"github.com/balsamford/balsamford/placer/internal/desk"
	"github.com/balsamford/balsamford/placer/internal/hold"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// worker answers as it is told; it implements hold.Client and Client.
type worker struct {
	starts []error
	stops  atomic.Int64
}

func (*worker) Open(_ context.Context, _ string, in point.Open) (point.View, error) {
	return point.View{Name: "w", Kind: point.Worker, Owner: in.Owner, Capacity: wire.Needs{CPU: 1000}}, nil
}

func (*worker) Renew(context.Context, string, point.Renew) (point.Report, error) {
	return point.Report{}, nil
}

func (*worker) Release(context.Context, string, point.Owner) error { return nil }

func (*worker) View(context.Context, string) (point.View, error) { return point.View{}, nil }

func (w *worker) Stop(context.Context, string, point.Stop) error {
	w.stops.Add(1)
	return nil
}

func (w *worker) Start(context.Context, string, point.Start) error {
	err := w.starts[0]
	w.starts = w.starts[1:]
	return err
}

type onlyMe struct{}

func (onlyMe) Names() []string { return []string{"p"} }

// ownerOf returns a Driver that owns the endpoint w, and the epoch of that.
func ownerOf(t *testing.T, w *worker) (*Driver, uint64) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	var g errgroup.Group
	clock := timer.New()
	g.Go(func() error { return clock.Run(ctx) })
	t.Cleanup(func() { cancel(); _ = g.Wait() })
	k := desk.New(sched.New(sched.WithTimer(clock)))
	keeper := hold.New("p", 1, onlyMe{}, w, clock, k)
	d := New("p", "a", Parts{Timer: clock, Queue: k, Owner: keeper, Client: w, Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
	k.Attach(d, keeper)
	keeper.Sync([]hold.Target{{Name: "w", Kind: point.Worker, Address: "w"}})
	g.Go(func() error { return keeper.Run(ctx) })
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if epoch, ok := keeper.Ownership("w").Owned(); ok {
			return d, epoch
		}
	}
	t.Fatal("the endpoint isn't owned")
	return nil, 0
}

// Once the answer to a start was lost, a refusal of the next send doesn't show
// that nothing began.
func TestRefusalAfterALostAnswerLeavesDoubt(t *testing.T) {
	lost := &point.LostError{Endpoint: "w", Err: context.DeadlineExceeded}
	tests := map[string]struct {
		starts      []error
		live, doubt bool
	}{
		"answered":          {starts: []error{nil}, live: true},
		"refused":           {starts: []error{&point.RefusedError{Reason: wire.ReasonBusy}}},
		"fenced":            {starts: []error{&point.FencedError{}}},
		"lost, answered":    {starts: []error{lost, nil}, live: true},
		"lost, refused":     {starts: []error{lost, &point.RefusedError{Reason: wire.ReasonLeaving}}, live: true, doubt: true},
		"lost, fenced":      {starts: []error{lost, &point.FencedError{}}, live: true, doubt: true},
		"lost all the time": {starts: []error{lost, lost, lost, lost}, live: true, doubt: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := &worker{starts: tt.starts}
			d, epoch := ownerOf(t, w)
			o := desk.Order{Decision: sched.Decision{ID: "a.1", Endpoint: "w", Attempt: 1, Kind: wire.Batch}, Epoch: epoch}
			j := newJob("a/a.1", &wire.Job{Request: wire.Request{ID: "a.1", Kind: wire.Batch, Tasks: 1}}, 1)
			is.True(j.send([]desk.Order{o}))
			d.start(t.Context(), j, o)
			is.Equal(j.tasks[0].live, tt.live)
			is.Equal(j.tasks[0].doubt, tt.doubt)
		})
	}
}

// A start got no answer because the owner of its endpoint died. While that owner
// is asked to stop it, which takes until its connection counts as lost, the
// endpoint is opened and the task found to run: it isn't stopped then.
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
			w := &worker{}
			d, epoch := ownerOf(t, w)
			o := desk.Order{Decision: sched.Decision{ID: "a.1", Endpoint: "w", Attempt: 1, Kind: wire.Gang}, Epoch: epoch}
			j := newJob("a/a.1", &wire.Job{Request: wire.Request{ID: "a.1", Kind: wire.Gang, Tasks: 1}}, 1)
			d.mu.Lock()
			d.jobs["a.1"] = j
			d.mu.Unlock()
			is.True(j.send([]desk.Order{o}))
			d.sent(t.Context(), j, o, fate{})
			list := d.doubts()["w"]
			is.Equal(len(list), 1)
			if tt.found {
				d.opened("w", epoch+1, []point.Task{{ID: desk.TaskID("a.1", 0), Attempt: 1, State: point.Running}})
			}
			d.haltUnarrived(t.Context(), list[0])
			is.Equal(w.stops.Load(), tt.stops)
		})
	}
}
