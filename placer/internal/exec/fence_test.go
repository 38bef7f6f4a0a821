package exec

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/fence"
	"github.com/balsamford/balsamford/placer/internal/hold"
	"github.com/balsamford/balsamford/placer/internal/queue"
	"github.com/balsamford/balsamford/placer/internal/sched"
	"github.com/balsamford/balsamford/standin/engine"
)

const fenceTerm = 3 * time.Second

// direct calls an endpoint without a network. Every task that it starts fails
// immediately.
type direct struct{ *engine.Endpoint }

// Open implements hold.Client.
func (d direct) Open(ctx context.Context, _ string, in point.Open) (point.View, error) {
	return d.Endpoint.Open(ctx, in)
}

// Renew implements hold.Client.
func (d direct) Renew(ctx context.Context, _ string, in point.Renew) (point.Report, error) {
	in.Wait = 0
	return d.Endpoint.Renew(ctx, in)
}

// Release implements hold.Client.
func (d direct) Release(ctx context.Context, _ string, in point.Owner) error {
	return d.Endpoint.Release(ctx, in)
}

// View implements hold.Client and Client.
func (d direct) View(ctx context.Context, _ string) (point.View, error) { return d.Endpoint.View(ctx) }

// Stop implements Client.
func (d direct) Stop(ctx context.Context, _ string, in point.Stop) error {
	return d.Endpoint.Stop(ctx, in)
}

// Run implements Client.
func (d direct) Run(ctx context.Context, _ string, in point.Start) (*point.Answer, error) {
	if err := d.Start(ctx, in); err != nil {
		return nil, err
	}
	return nil, &point.FailedError{ID: in.ID}
}

// noJobs implements queue.Jobs for a placer without jobs.
type noJobs struct{}

func (noJobs) Decided(string, []queue.Order)                       {}
func (noJobs) Opened(hold.Target, *point.View)                     {}
func (noJobs) Ended(hold.Target, *point.Task)                      {}
func (noJobs) Lapsed(hold.Target, uint64)                          {}
func (noJobs) Expired(string, []int)                               {}
func (noJobs) Names() []string                                     { return []string{"a", "b"} }
func (noJobs) Promise(context.Context, string, time.Duration) bool { return false }

// testPlacer is one of the placers that compete for the endpoint.
type testPlacer struct {
	keeper     *hold.Keeper
	dispatcher *queue.Dispatcher
}

func newTestPlacer(name string, tag uint16, clock *timer.Service, table fence.Table, e direct) *testPlacer {
	o := &testPlacer{dispatcher: queue.New(sched.New(sched.WithTimer(clock)))}
	o.keeper = hold.New(name, tag, noJobs{}, e, clock, o.dispatcher, hold.WithTerm(fenceTerm),
		hold.WithFencer(fence.New(table, clock, noJobs{}, fenceTerm)))
	o.dispatcher.Attach(noJobs{}, o.keeper)
	o.keeper.Sync([]hold.Target{{Name: "e0", Kind: point.Executor, Zone: "a", Address: "e0"}})
	return o
}

// acquire runs a few steps and reports whether the endpoint is owned then.
func (o *testPlacer) acquire(ctx context.Context) bool {
	for range 4 {
		o.keeper.Ownership("e0").Step(ctx, true)
	}
	_, owned := o.keeper.Ownership("e0").Owned()
	return owned
}

// pausingSender is a Sender that pauses the process during the first Sent
// event.
type pausingSender struct {
	pause func()
	last  *wire.Event
}

// Send implements Sender.
func (p *pausingSender) Send(v any) error {
	p.last = v.(*wire.Event)
	if p.last.Phase == wire.Sent && p.pause != nil {
		p.pause()
		p.pause = nil
	}
	return nil
}

// TestPausedBeforeTheStart pauses the owner of an endpoint without fencing,
// after it has obtained the pass for a start and before it sends the start. If
// another placer has taken the endpoint over by then, the start must not be sent.
func TestPausedBeforeTheStart(t *testing.T) {
	tests := map[string]struct {
		pause   time.Duration
		taken   bool // by the other placer during the pause
		outcome wire.Outcome
		reason  string
		starts  int
	}{
		"not paused":           {outcome: wire.Failed, reason: wire.ReasonError, starts: 1},
		"less than the term":   {pause: fenceTerm / 2, outcome: wire.Failed, reason: wire.ReasonError, starts: 1},
		"longer than the term": {pause: 2 * fenceTerm, taken: true, outcome: wire.NotRun, reason: wire.ReasonFenced},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			clock := timer.New(timer.WithManual(time.Unix(0, 0)))
			clock.Advance(time.Hour)
			e := direct{engine.New("e0", engine.WithKind(point.Executor), engine.WithCapacity(wire.Needs{Slots: 1, Conns: 10}),
				engine.WithTimer(clock), engine.WithFence(point.FenceClock))}
			table := store.New(store.WithTimer(clock))
			a, b := newTestPlacer("a", 1, clock, table, e), newTestPlacer("b", 2, clock, table, e)
			is.True(a.acquire(ctx))
			var g errgroup.Group
			g.Go(func() error { return a.dispatcher.Run(ctx, clock) })
			defer func() { cancel(); _ = g.Wait() }()
			r := New(clock, a.dispatcher, a.keeper, e, metrics.NewRegistry())
			out := &pausingSender{pause: func() {
				is.True(!b.acquire(ctx)) // the term of a is valid
				clock.Advance(tt.pause)
				is.Equal(b.acquire(ctx), tt.taken)
			}}
			r.Run(ctx, &wire.Request{ID: "x", Attempt: 1, Team: "t", Queue: "q", Kind: wire.Quick, Needs: wire.Needs{Slots: 1}}, out)
			is.Equal(out.last.Outcome, tt.outcome)
			is.Equal(out.last.Reason, tt.reason)
			starts := 0
			for _, ev := range e.Log().Events() {
				if ev.Event == engine.Began {
					starts++
				}
			}
			is.Equal(starts, tt.starts)
		})
	}
}
