package relay

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/entry/internal/route"
)

const (
	// settlePeriod is the time between two rounds of questions.
	settlePeriod = 200 * time.Millisecond
	// settleTime bounds one question.
	settleTime = 2 * time.Second
	// settleWait bounds the questions about one zone. A dead placer's executors
	// are owned by others within that time.
	settleWait = 8 * time.Second
)

// settle waits until no run of the request goes on in a zone and none will
// begin there, and reports false if the journey's time is over before that.
func (j *journey) settle(ctx context.Context, zone string) bool {
	j.runner.counts.settles.Inc(1)
	ctx, cancel := j.runner.within(ctx, settleWait)
	defer cancel()
	for ctx.Err() == nil && j.unwanted() == "" {
		if j.runner.settled(ctx, zone, wire.Lookup{ID: j.req.ID, Attempt: j.req.Attempt}) {
			return true
		}
		if j.runner.clock.Sleep(j.wanted, settlePeriod) != nil {
			return false
		}
	}
	return false
}

// settleAll does the same for every zone, when it isn't known which one has
// run the request.
func (j *journey) settleAll(ctx context.Context) bool {
	zones := make(map[string]bool)
	for _, p := range j.runner.routes.Placers() {
		zones[p.Zone] = true
	}
	for zone := range zones {
		if !j.settle(ctx, zone) {
			return false
		}
	}
	return true
}

// settled asks all placers of a zone once.
func (r *Runner) settled(ctx context.Context, zone string, in wire.Lookup) bool {
	ctx, cancel := r.within(ctx, settleTime)
	defer cancel()
	words := newWords()
	var g errgroup.Group
	for _, p := range r.routes.Placers() {
		if p.Zone != zone {
			continue
		}
		g.Go(func() error {
			var out wire.Settled
			if r.net.Call(ctx, p.Link, wire.VerbSettle, in, &out) == nil {
				words.add(p, &out)
			}
			return nil
		})
	}
	_ = g.Wait()
	return words.agree()
}

// words gathers what the placers of a zone say.
type words struct {
	mu    sync.Mutex // guards the fields below
	clear map[string]bool
	live  map[string]bool
	owned map[string]bool
	known map[string]bool
}

func newWords() *words {
	return &words{clear: make(map[string]bool), live: make(map[string]bool), owned: make(map[string]bool), known: make(map[string]bool)}
}

func (w *words) add(p route.Placer, s *wire.Settled) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clear[p.Name] = s.Clear
	for _, n := range s.Live {
		w.live[n] = true
	}
	for _, n := range s.Owned {
		w.owned[n] = true
	}
	for _, n := range s.Known {
		w.known[n] = true
	}
}

// agree reports whether every live placer has answered and found nothing, and
// every executor is owned by one of them.
func (w *words) agree() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.clear) == 0 {
		return false
	}
	for _, clear := range w.clear {
		if !clear {
			return false
		}
	}
	for n := range w.live {
		if !w.clear[n] {
			return false
		}
	}
	for n := range w.known {
		if !w.owned[n] {
			return false
		}
	}
	return true
}
