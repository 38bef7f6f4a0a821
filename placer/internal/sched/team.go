package sched

import (
	"slices"

	"github.com/balsamford/balsamford/coord/wire"
)

// team is the state of one team in a pool.
type team struct {
	name          string
	weight        float64
	used          wire.Needs  // granted by this pool
	usedRemotely  wire.Needs  // at other placers, as of the last refresh
	usedAtMerge   wire.Needs  // used at the time of the last refresh
	running       int         // tasks that hold room
	subqueues     []*subqueue // urgent first, then by descending rank, then by queue name
	waiting       int         // queued entries
	credit        float64     // moving average of the shortfall below its fair share
	fairShare     float64     // its part of the total share in use, by weight
	waitBonus     float64     // share that is credited for waiting time
	dominantShare float64     // fleet-wide, as far as known
	exhausted     bool        // nothing more can start in this pass
}

// subqueue returns the subqueue for an item, creating it if necessary.
func (t *team) subqueue(p *Policy, item *Item) *subqueue {
	for _, q := range t.subqueues {
		if q.queue == item.Queue && q.urgent == item.Urgent {
			return q
		}
	}
	q := &subqueue{queue: item.Queue, urgent: item.Urgent, rank: p.Queues[item.Queue].Rank}
	t.subqueues = append(t.subqueues, q)
	t.sortSubqueues()
	return q
}

func (t *team) sortSubqueues() {
	slices.SortStableFunc(t.subqueues, func(a, b *subqueue) int {
		if a.urgent != b.urgent {
			if a.urgent {
				return -1
			}
			return 1
		}
		if a.rank != b.rank {
			return b.rank - a.rank
		}
		if a.queue < b.queue {
			return -1
		}
		return 1
	})
}
