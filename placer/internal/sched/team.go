package sched

import (
	"slices"

	"github.com/balsamford/balsamford/coord/wire"
)

// team is one team's standing in a pool.
type team struct {
	name    string
	weight  float64
	used    wire.Needs // granted here
	remote  wire.Needs // used at other placers when they last said so
	merged  wire.Needs // used here at that time
	running int
	lanes   []*lane // urgent first, then by rank, then by name
	live    int     // entries that wait
	credit  float64 // share that it was short of, decayed
	fair    float64 // share that its weight gives it of what is used
	lag     float64 // share that its waiting counts for
	share   float64 // dominant share, fleet-wide as far as known
	done    bool    // nothing more can start in this pass
}

// lane returns the line for an item, made if need be.
func (t *team) lane(p *Policy, item *Item) *lane {
	for _, l := range t.lanes {
		if l.queue == item.Queue && l.urgent == item.Urgent {
			return l
		}
	}
	l := &lane{queue: item.Queue, urgent: item.Urgent, rank: p.Queues[item.Queue].Rank}
	t.lanes = append(t.lanes, l)
	t.sortLanes()
	return l
}

func (t *team) sortLanes() {
	slices.SortStableFunc(t.lanes, func(a, b *lane) int {
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
