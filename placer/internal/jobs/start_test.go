package jobs

import (
	"context"
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
type worker struct{ starts []error }

func (*worker) Open(_ context.Context, _ string, in point.Open) (point.View, error) {
	return point.View{Name: "w", Kind: point.Worker, Owner: in.Owner, Capacity: wire.Needs{CPU: 1000}}, nil
}

func (*worker) Renew(context.Context, string, point.Renew) (point.Report, error) {
	return point.Report{}, nil
}

func (*worker) Release(context.Context, string, point.Owner) error { return nil }

func (*worker) View(context.Context, string) (point.View, error) { return point.View{}, nil }

func (*worker) Stop(context.Context, string, point.Stop) error { return nil }

func (w *worker) Start(context.Context, string, point.Start) error {
	err := w.starts[0]
	w.starts = w.starts[1:]
	return err
}

type onlyMe struct{}

func (onlyMe) Names() []string { return []string{"p"} }

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
			ctx, cancel := context.WithCancel(context.Background())
			var g errgroup.Group
			clock := timer.New()
			g.Go(func() error { return clock.Run(ctx) })
			defer func() { cancel(); _ = g.Wait() }()
			w := &worker{starts: tt.starts}
			k := desk.New(sched.New(sched.WithTimer(clock)))
			keeper := hold.New("p", 1, onlyMe{}, w, clock, k)
			d := New("p", "a", Parts{Timer: clock, Queue: k, Owner: keeper, Client: w, Log: zap.NewNop(), Metrics: metrics.NewRegistry()})
			k.Attach(d, keeper)
			keeper.Sync([]hold.Target{{Name: "w", Kind: point.Worker, Address: "w"}})
			g.Go(func() error { return keeper.Run(ctx) })
			var epoch uint64
			for end := time.Now().Add(10 * time.Second); epoch == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
				if e, ok := keeper.Seat("w").Owned(); ok {
					epoch = e
				}
			}
			o := desk.Order{Decision: sched.Decision{ID: "a.1", Endpoint: "w", Attempt: 1, Kind: wire.Batch}, Epoch: epoch}
			j := newJob("a/a.1", &wire.Job{Request: wire.Request{ID: "a.1", Kind: wire.Batch, Tasks: 1}}, 1)
			is.True(j.send([]desk.Order{o}))
			d.start(ctx, j, o)
			is.Equal(j.tasks[0].live, tt.live)
			is.Equal(j.tasks[0].doubt, tt.doubt)
		})
	}
}
