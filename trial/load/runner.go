package load

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/balsamford/balsamford/coord/config"
	"github.com/balsamford/balsamford/trial/calls"
	"github.com/balsamford/balsamford/trial/cell"
	"github.com/balsamford/balsamford/trial/judge"
)

const (
	// callTime bounds one call of a caller.
	callTime = 20 * time.Second
	// pollTime is how often the state of a job is asked for.
	pollTime = 150 * time.Millisecond
	// inFlight bounds the requests that wait at a time.
	inFlight = 2000
)

// Runner sends requests at a steady rate, whatever becomes of them.
type Runner struct {
	doors  []cell.EntryHost
	source *source
	client *calls.Client
	rate   float64       // requests a second
	after  time.Duration // how long jobs may run on after the last request

	mu    sync.Mutex // guards calls
	calls []judge.Call
}

// New returns a Runner for the objects of set. The list of its requests
// depends only on seed.
func New(seed uint64, perSecond float64, after time.Duration, set *config.Set, doors []cell.EntryHost) *Runner {
	return &Runner{doors: doors, source: newSource(seed, set), client: calls.New(callTime), rate: perSecond, after: after}
}

// Run sends requests until ctx ends, or count have been sent if that is above
// 0, and waits until all have ended.
func (r *Runner) Run(ctx context.Context, count int) {
	defer r.client.Close()
	limiter := rate.NewLimiter(rate.Limit(r.rate), 1)
	late, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g errgroup.Group
	g.SetLimit(inFlight)
	for n := 0; count <= 0 || n < count; n++ {
		if limiter.Wait(ctx) != nil {
			break
		}
		it := r.source.item(n)
		g.Go(func() error {
			r.note(r.one(late, &it))
			return nil
		})
	}
	stop := time.AfterFunc(r.after, cancel)
	defer stop.Stop()
	_ = g.Wait()
}

// Calls returns what the callers were told.
func (r *Runner) Calls() []judge.Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]judge.Call(nil), r.calls...)
}

func (r *Runner) note(c judge.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// door returns the address of an entry; another one for each try.
func (r *Runner) door(it *item, try int) string {
	return r.doors[(it.door+try)%len(r.doors)].Address
}
