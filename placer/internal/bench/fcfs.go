package bench

import (
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/alloc"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// FCFS is the baseline. It has one queue for executors and one for workers, and
// starts tasks in the order of their arrival on the first endpoint with enough
// capacity. A request that doesn't fit blocks later ones, unless skip is set.
type FCFS struct {
	skip   bool
	queues [2]fcfsQueue
}

// skipDepth is the position in the queue up to which requests that don't fit are
// skipped.
const skipDepth = 100

type fcfsQueue struct {
	table   *alloc.Table
	items   []*queuedItem
	running map[taskKey]grant
}

type queuedItem struct {
	item    sched.Item
	numbers []int
}

type grant struct {
	row  *alloc.Row
	item sched.Item
}

// NewFCFS returns an FCFS without endpoints. skip lets later requests overtake
// one that doesn't fit.
func NewFCFS(skip bool) *FCFS {
	f := &FCFS{skip: skip}
	for i := range f.queues {
		f.queues[i] = fcfsQueue{table: alloc.New(), running: make(map[taskKey]grant)}
	}
	return f
}

func (f *FCFS) queueOf(k wire.Kind) *fcfsQueue {
	if k == wire.Quick {
		return &f.queues[0]
	}
	return &f.queues[1]
}

// Join implements Engine.
func (f *FCFS) Join(e sched.Endpoint) {
	l := &f.queues[1]
	if e.Kind == point.Executor {
		l = &f.queues[0]
	}
	l.table.Join(e.Name, e.Zone, e.Rack, e.Capacity, e.Leaving)
}

// Report implements Engine. It does nothing, because the baseline uses declared
// sizes only.
func (f *FCFS) Report(string, wire.Needs) {}

// Submit implements Engine.
func (f *FCFS) Submit(item sched.Item) error {
	l := f.queueOf(item.Kind)
	numbers := item.Numbers
	for n := 0; item.Numbers == nil && n < max(item.Tasks, 1); n++ {
		numbers = append(numbers, n)
	}
	l.items = append(l.items, &queuedItem{item, numbers})
	return nil
}

// Cancel implements Engine.
func (f *FCFS) Cancel(id string) bool {
	for i := range f.queues {
		l := &f.queues[i]
		for k, w := range l.items {
			if w.item.ID == id {
				l.items = append(l.items[:k], l.items[k+1:]...)
				return true
			}
		}
	}
	return false
}

// Decide implements Engine.
func (f *FCFS) Decide() []sched.Decision {
	var out []sched.Decision
	for i := range f.queues {
		out = f.queues[i].decide(f.skip, out)
	}
	return out
}

func (l *fcfsQueue) decide(skip bool, out []sched.Decision) []sched.Decision {
	kept := l.items[:0]
	for i, w := range l.items {
		out = l.start(w, out)
		if len(w.numbers) > 0 {
			kept = append(kept, w)
			if !skip || i > skipDepth {
				kept = append(kept, l.items[i+1:]...)
				break
			}
		}
	}
	clear(l.items[len(kept):])
	l.items = kept
	return out
}

func (l *fcfsQueue) start(w *queuedItem, out []sched.Decision) []sched.Decision {
	before := len(out)
	for i, n := range w.numbers {
		row := l.table.FirstFit(w.item.Needs, nil)
		if row == nil && w.item.Kind == wire.Gang {
			for _, d := range out[before:] {
				l.free(taskKey{d.ID, d.Task})
			}
			return out[:before]
		}
		if row == nil {
			w.numbers = w.numbers[i:]
			return out
		}
		l.table.Allocate(row, w.item.Needs)
		l.running[taskKey{w.item.ID, n}] = grant{row, w.item}
		out = append(out, sched.Decision{ID: w.item.ID, Task: n, Endpoint: row.Name(), Needs: w.item.Needs, Kind: w.item.Kind})
	}
	w.numbers = nil
	return out
}

func (l *fcfsQueue) free(k taskKey) (sched.Item, bool) {
	g, ok := l.running[k]
	if ok {
		l.table.Free(g.row, g.item.Needs, 0)
		delete(l.running, k)
	}
	return g.item, ok
}

// Started implements Engine.
func (f *FCFS) Started(string, int) {}

// Unsent implements Engine.
func (f *FCFS) Unsent(id string, task int) {
	for i := range f.queues {
		if item, ok := f.queues[i].free(taskKey{id, task}); ok {
			item.Numbers = []int{task}
			f.queues[i].items = append([]*queuedItem{{item, item.Numbers}}, f.queues[i].items...)
		}
	}
}

// Ended implements Engine.
func (f *FCFS) Ended(id string, task int, _ bool) {
	for i := range f.queues {
		f.queues[i].free(taskKey{id, task})
	}
}

// Expire implements Engine. Nothing expires.
func (f *FCFS) Expire() []sched.Item { return nil }
