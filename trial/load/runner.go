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
	// callTimeout bounds one call to an entry.
	callTimeout = 20 * time.Second
	// pollInterval is the pause between two status calls for a job.
	pollInterval = 150 * time.Millisecond
	// maxInFlight bounds the requests in progress at a time.
	maxInFlight = 2000
)

// Runner sends requests at a constant rate, independent of the replies (open
// loop), as long as fewer than maxInFlight are in progress.
type Runner struct {
	entries   []cell.EntryHost
	source    *source
	client    *calls.Client
	rate      float64       // requests a second
	drainTime time.Duration // how long jobs are followed after the last request was sent

	mu    sync.Mutex // guards calls
	calls []judge.Call
}

// New returns a Runner that sends perSecond requests a second for the
// configuration objects of set. The sequence of requests depends only on seed
// and set. Jobs are followed for drainTime after the last request was sent.
func New(seed uint64, perSecond float64, drainTime time.Duration, set *config.Set, entries []cell.EntryHost) *Runner {
	return &Runner{entries: entries, source: newSource(seed, set), client: calls.New(callTimeout), rate: perSecond, drainTime: drainTime}
}

// Run sends requests until ctx is done, or until count have been sent if count
// is above 0. It then waits for the outcomes of all requests, for jobs at most
// the drain time.
func (r *Runner) Run(ctx context.Context, count int) {
	defer r.client.Close()
	limiter := rate.NewLimiter(rate.Limit(r.rate), 1)
	jobCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var g errgroup.Group
	g.SetLimit(maxInFlight)
	for n := 0; count <= 0 || n < count; n++ {
		if limiter.Wait(ctx) != nil {
			break
		}
		it := r.source.item(n)
		g.Go(func() error {
			r.record(r.send(jobCtx, &it))
			return nil
		})
	}
	stop := time.AfterFunc(r.drainTime, cancel)
	defer stop.Stop()
	_ = g.Wait()
}

// Calls returns the requests that have finished so far, with their results.
func (r *Runner) Calls() []judge.Call {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]judge.Call(nil), r.calls...)
}

func (r *Runner) record(c judge.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

// entryAddress returns the address of the entry for a try. Successive tries go
// to different entries.
func (r *Runner) entryAddress(it *item, try int) string {
	return r.entries[(it.firstEntry+try)%len(r.entries)].Address
}
