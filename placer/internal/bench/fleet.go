package bench

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/sched"
	"github.com/balsamford/balsamford/placer/internal/share"
)

// Fleet is several schedulers, each with its own racks, that exchange
// summaries. A request goes to the one with the fewest waiting.
type Fleet struct {
	members []*sched.Scheduler
	homes   map[string]int // of endpoints
	jobs    map[string]int
	seq     uint64
}

// beatLag is how old a summary is when it arrives.
const beatLag = 100 * time.Millisecond

// NewFleet returns n schedulers that tell one another what they use once every
// beat; 0 is never.
func NewFleet(n int, beat time.Duration, clock *timer.Service, p sched.Policy) *Fleet {
	f := &Fleet{homes: make(map[string]int), jobs: make(map[string]int)}
	for range n {
		f.members = append(f.members, sched.New(sched.WithTimer(clock), sched.WithPolicy(p)))
	}
	if beat > 0 {
		clock.Every(beat, func() { f.exchange(clock) })
	}
	return f
}

func (f *Fleet) exchange(clock *timer.Service) {
	f.seq++
	sums := make([]share.Summary, len(f.members))
	for i, m := range f.members {
		sums[i] = m.Summary()
		sums[i].Placer, sums[i].Seq = strconv.Itoa(i), f.seq
	}
	clock.After(beatLag, func() {
		for i, m := range f.members {
			for k := range sums {
				if k != i {
					m.Merge(sums[k])
				}
			}
		}
	})
}

// route returns where a request goes.
func (f *Fleet) route(item *sched.Item) int {
	if n, ok := f.jobs[item.ID]; ok {
		return n
	}
	best, least := 0, -1
	first := int(xxhash.Sum64String(item.ID) % uint64(len(f.members)))
	for i := range f.members {
		n := (first + i) % len(f.members)
		if w := f.members[n].Queued()[item.Queue]; least < 0 || w < least {
			best, least = n, w
		}
	}
	f.jobs[item.ID] = best
	return best
}

// Join implements Engine.
func (f *Fleet) Join(e sched.Endpoint) {
	n := len(f.homes) / rackWorkers % len(f.members)
	f.homes[e.Name] = n
	f.members[n].Join(e)
}

// Report implements Engine.
func (f *Fleet) Report(name string, used wire.Needs) { f.members[f.homes[name]].Report(name, used) }

// Submit implements Engine.
func (f *Fleet) Submit(item sched.Item) error { return f.members[f.route(&item)].Submit(item) }

// Cancel implements Engine.
func (f *Fleet) Cancel(id string) bool { return f.members[f.jobs[id]].Cancel(id) }

// Decide implements Engine.
func (f *Fleet) Decide() []sched.Decision {
	var out []sched.Decision
	for _, m := range f.members {
		out = append(out, m.Decide()...)
	}
	return out
}

// Started implements Engine.
func (f *Fleet) Started(id string, task int) { f.members[f.jobs[id]].Started(id, task) }

// Unsent implements Engine.
func (f *Fleet) Unsent(id string, task int) { f.members[f.jobs[id]].Unsent(id, task) }

// Ended implements Engine.
func (f *Fleet) Ended(id string, task int, ok bool) { f.members[f.jobs[id]].Ended(id, task, ok) }

// Expire implements Engine.
func (f *Fleet) Expire() []sched.Item {
	var out []sched.Item
	for _, m := range f.members {
		out = append(out, m.Expire()...)
	}
	return out
}
