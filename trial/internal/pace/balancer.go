package pace

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/trial/site"
)

// pollTime is how often the balancer looks at the entries.
const pollTime = 100 * time.Millisecond

// balancer knows which entries say that they are ready, as the platform's
// does.
type balancer struct {
	site  *site.Site
	ready atomic.Pointer[[]string]
}

func newBalancer(st *site.Site) *balancer {
	b := &balancer{site: st}
	b.poll()
	return b
}

// run polls until ctx ends.
func (b *balancer) run(ctx context.Context) error {
	tick := time.NewTicker(pollTime)
	defer tick.Stop()
	for {
		b.poll()
		select {
		case <-tick.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// poll asks all entries at the same time, since one may hang.
func (b *balancer) poll() {
	doors := b.site.Cell().EntryHosts()
	ready := make([]bool, len(doors))
	var g errgroup.Group
	for i, d := range doors {
		g.Go(func() error {
			ready[i] = b.site.EntryReady(d)
			return nil
		})
	}
	_ = g.Wait()
	list := make([]string, 0, len(doors))
	for i, d := range doors {
		if ready[i] {
			list = append(list, d.Address)
		}
	}
	b.ready.Store(&list)
}

// door returns the callers' address of a ready entry, empty if there is none.
func (b *balancer) door(n int) string {
	list := *b.ready.Load()
	if len(list) == 0 {
		return ""
	}
	return list[n%len(list)]
}
