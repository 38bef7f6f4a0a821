package pace

import (
	"context"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/trial/site"
)

// pollInterval is the pause between two polls of the entries' readiness.
const pollInterval = 100 * time.Millisecond

// balancer polls the readiness of the entries and chooses among the ready ones,
// like the platform's load balancer.
type balancer struct {
	site  *site.Site
	ready atomic.Pointer[[]string]
}

func newBalancer(st *site.Site) *balancer {
	b := &balancer{site: st}
	b.poll()
	return b
}

// run polls until ctx is done.
func (b *balancer) run(ctx context.Context) error {
	tick := time.NewTicker(pollInterval)
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

// poll checks all entries concurrently, so that one that hangs doesn't delay the
// checks of the others.
func (b *balancer) poll() {
	hosts := b.site.Cell().EntryHosts()
	ready := make([]bool, len(hosts))
	var g errgroup.Group
	for i, h := range hosts {
		g.Go(func() error {
			ready[i] = b.site.EntryReady(h)
			return nil
		})
	}
	_ = g.Wait()
	addresses := make([]string, 0, len(hosts))
	for i, h := range hosts {
		if ready[i] {
			addresses = append(addresses, h.Address)
		}
	}
	b.ready.Store(&addresses)
}

// entryAddress returns the address of a ready entry, chosen by n in turn, or an
// empty string if none is ready.
func (b *balancer) entryAddress(n int) string {
	list := *b.ready.Load()
	if len(list) == 0 {
		return ""
	}
	return list[n%len(list)]
}
