package bench

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/sched"
	"github.com/balsamford/balsamford/placer/internal/share"
)

// Fleet is a group of schedulers, each with its own racks, that exchange usage
// summaries. A request goes to the scheduler with the fewest waiting requests.
type Fleet struct {
	members     []*sched.Scheduler
	owners      map[string]int // index of the member that owns an endpoint, by endpoint
	jobs        map[string]int // index of a request's member, by request ID
	spreadTasks bool
	lent        map[taskKey]int // tasks that wait or run at another member than their job, and its index
	undelivered []sched.Decision
	delivered   []sched.Decision
	rng         *rand.Rand
	seq         uint64
}

// summaryDelay is the age of a summary on its arrival.
const summaryDelay = 100 * time.Millisecond

// deliveryInterval is the time between two deliveries of other members'
// decisions to the member of the job.
const deliveryInterval = 50 * time.Millisecond

// Spread lets tasks of batch jobs wait at other members than their job, like
// job drivers do when their own placer already has waiting requests. It returns
// the fleet.
func (f *Fleet) Spread(clock *timer.Service) *Fleet {
	f.spreadTasks = true
	clock.Every(deliveryInterval, func() { f.delivered, f.undelivered = append(f.delivered, f.undelivered...), nil })
	return f
}

// NewFleet returns a fleet of n schedulers that exchange their usage once every
// beat, or never if beat is 0.
func NewFleet(n int, beat time.Duration, clock *timer.Service, p sched.Policy) *Fleet {
	f := &Fleet{owners: make(map[string]int), jobs: make(map[string]int), lent: make(map[taskKey]int)}
	f.rng = rand.New(rand.NewPCG(7, 7)) // #nosec G404 -- the run has to be repeatable
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
	clock.After(summaryDelay, func() {
		for i, m := range f.members {
			for k := range sums {
				if k != i {
					m.Merge(sums[k])
				}
			}
		}
	})
}

// route returns the index of the member that a request goes to.
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
	n := len(f.owners) / rackWorkers % len(f.members)
	f.owners[e.Name] = n
	f.members[n].Join(e)
}

// Report implements Engine.
func (f *Fleet) Report(name string, used wire.Needs) { f.members[f.owners[name]].Report(name, used) }

// Submit implements Engine.
func (f *Fleet) Submit(item sched.Item) error {
	home := f.route(&item)
	backlog := f.members[home].Backlog()
	if !f.spreadTasks || item.Kind != wire.Batch || item.Urgent || backlog == 0 {
		return f.members[home].Submit(item)
	}
	numbers := item.Numbers
	for n := range max(item.Tasks, 1) {
		if item.Numbers == nil {
			numbers = append(numbers, n)
		}
	}
	parts := make(map[int][]int)
	for _, n := range numbers {
		delete(f.lent, taskKey{item.ID, n})
		to := f.rng.IntN(len(f.members))
		if f.members[to].Backlog()+len(parts[to]) >= backlog+len(parts[home]) {
			to = home
		}
		if to != home {
			f.lent[taskKey{item.ID, n}] = to
		}
		parts[to] = append(parts[to], n)
	}
	for to := range f.members {
		if len(parts[to]) == 0 {
			continue
		}
		part := item
		part.Numbers, part.Tasks = parts[to], len(parts[to])
		if err := f.members[to].Submit(part); err != nil {
			return err
		}
	}
	return nil
}

// memberOf returns the member at which a task waits or runs.
func (f *Fleet) memberOf(id string, task int) *sched.Scheduler {
	if n, ok := f.lent[taskKey{id, task}]; ok {
		return f.members[n]
	}
	return f.members[f.jobs[id]]
}

// Cancel implements Engine.
func (f *Fleet) Cancel(id string) bool {
	all := true
	for _, m := range f.members {
		gone := m.Cancel(id)
		all = all && gone
	}
	return all
}

// Decide implements Engine.
func (f *Fleet) Decide() []sched.Decision {
	out := f.delivered
	f.delivered = nil
	for _, m := range f.members {
		for _, d := range m.Decide() {
			if _, lent := f.lent[taskKey{d.ID, d.Task}]; lent && !d.Preempt {
				f.undelivered = append(f.undelivered, d)
				continue
			}
			out = append(out, d)
		}
	}
	return out
}

// Started implements Engine.
func (f *Fleet) Started(id string, task int) { f.memberOf(id, task).Started(id, task) }

// Unsent implements Engine.
func (f *Fleet) Unsent(id string, task int) { f.memberOf(id, task).Unsent(id, task) }

// Ended implements Engine.
func (f *Fleet) Ended(id string, task int, ok bool) { f.memberOf(id, task).Ended(id, task, ok) }

// Expire implements Engine.
func (f *Fleet) Expire() []sched.Item {
	var out []sched.Item
	for _, m := range f.members {
		out = append(out, m.Expire()...)
	}
	return out
}
