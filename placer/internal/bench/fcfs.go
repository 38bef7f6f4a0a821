package bench

import (
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/cell"
	"github.com/balsamford/balsamford/placer/internal/sched"
)

// FCFS is the baseline: one line for executors and one for workers, first
// come first served, each task on the first endpoint in which it fits. What
// doesn't fit holds up what came later, unless skip is set.
type FCFS struct {
	skip  bool
	lines [2]line
}

// skipDepth is how far a skipping baseline looks behind what doesn't fit.
const skipDepth = 100

type line struct {
	table *cell.Table
	queue []*waiting
	runs  map[taskKey]grant
}

type waiting struct {
	item    sched.Item
	numbers []int
}

type grant struct {
	row  *cell.Row
	item sched.Item
}

// NewFCFS returns an empty baseline.
func NewFCFS(skip bool) *FCFS {
	f := &FCFS{skip: skip}
	for i := range f.lines {
		f.lines[i] = line{table: cell.New(), runs: make(map[taskKey]grant)}
	}
	return f
}

func (f *FCFS) line(k wire.Kind) *line {
	if k == wire.Quick {
		return &f.lines[0]
	}
	return &f.lines[1]
}

// Join implements Engine.
func (f *FCFS) Join(e sched.Endpoint) {
	l := &f.lines[1]
	if e.Kind == point.Executor {
		l = &f.lines[0]
	}
	l.table.Join(e.Name, e.Zone, e.Rack, e.Capacity, e.Leaving)
}

// Report implements Engine. The baseline goes by declared sizes alone.
func (f *FCFS) Report(string, wire.Needs) {}

// Submit implements Engine.
func (f *FCFS) Submit(item sched.Item) error {
	l := f.line(item.Kind)
	numbers := item.Numbers
	for n := 0; item.Numbers == nil && n < max(item.Tasks, 1); n++ {
		numbers = append(numbers, n)
	}
	l.queue = append(l.queue, &waiting{item, numbers})
	return nil
}

// Cancel implements Engine.
func (f *FCFS) Cancel(id string) bool {
	for i := range f.lines {
		l := &f.lines[i]
		for k, w := range l.queue {
			if w.item.ID == id {
				l.queue = append(l.queue[:k], l.queue[k+1:]...)
				return true
			}
		}
	}
	return false
}

// Decide implements Engine.
func (f *FCFS) Decide() []sched.Decision {
	var out []sched.Decision
	for i := range f.lines {
		out = f.lines[i].decide(f.skip, out)
	}
	return out
}

func (l *line) decide(skip bool, out []sched.Decision) []sched.Decision {
	kept := l.queue[:0]
	for i, w := range l.queue {
		out = l.start(w, out)
		if len(w.numbers) > 0 {
			kept = append(kept, w)
			if !skip || i > skipDepth {
				kept = append(kept, l.queue[i+1:]...)
				break
			}
		}
	}
	clear(l.queue[len(kept):])
	l.queue = kept
	return out
}

func (l *line) start(w *waiting, out []sched.Decision) []sched.Decision {
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
		l.table.Adopt(row, w.item.Needs)
		l.runs[taskKey{w.item.ID, n}] = grant{row, w.item}
		out = append(out, sched.Decision{ID: w.item.ID, Task: n, Endpoint: row.Name(), Needs: w.item.Needs, Kind: w.item.Kind})
	}
	w.numbers = nil
	return out
}

func (l *line) free(k taskKey) (sched.Item, bool) {
	g, ok := l.runs[k]
	if ok {
		l.table.Free(g.row, g.item.Needs, 0)
		delete(l.runs, k)
	}
	return g.item, ok
}

// Started implements Engine.
func (f *FCFS) Started(string, int) {}

// Unsent implements Engine.
func (f *FCFS) Unsent(id string, task int) {
	for i := range f.lines {
		if item, ok := f.lines[i].free(taskKey{id, task}); ok {
			item.Numbers = []int{task}
			f.lines[i].queue = append([]*waiting{{item, item.Numbers}}, f.lines[i].queue...)
		}
	}
}

// Ended implements Engine.
func (f *FCFS) Ended(id string, task int, _ bool) {
	for i := range f.lines {
		f.lines[i].free(taskKey{id, task})
	}
}

// Expire implements Engine. Nothing expires.
func (f *FCFS) Expire() []sched.Item { return nil }
