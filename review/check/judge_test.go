package check

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// judge follows what clients and workers see.
type judge struct {
	rec *record

	mu        sync.Mutex
	acceptAt  map[string]time.Time      // by job
	running   map[string]map[string]int // executors by task, with the run's number
	done      map[string]time.Time      // first end `done`, by task
	notedDone map[string]time.Time
	starts    map[string]int       // by task
	lastStart map[string]time.Time // by task
	lastEnd   map[string]time.Time // by task
	failed    map[string]int
	endings   int                      // ends listed
	taken     int                      // ends taken note of
	tickets   int                      // starts rejected for want of a ticket
	listedAt  map[string]time.Time     // of each end, by task, run and executor
	notedIn   map[string]time.Duration // how long until it was taken note of
	twice     []string
}

func newJudge(rec *record) *judge {
	return &judge{
		rec: rec, acceptAt: map[string]time.Time{}, running: map[string]map[string]int{}, done: map[string]time.Time{}, notedDone: map[string]time.Time{},
		starts: map[string]int{}, lastStart: map[string]time.Time{}, lastEnd: map[string]time.Time{}, failed: map[string]int{},
		listedAt: map[string]time.Time{}, notedIn: map[string]time.Duration{},
	}
}

func (j *judge) accepted(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if _, ok := j.acceptAt[id]; !ok {
		j.acceptAt[id] = time.Now()
	}
}

func (j *judge) started(task string, number int, executor string, fence int64, _ string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if at, ok := j.notedDone[task]; ok {
		j.violation("task %s run %d starts on %s %v after an end `done` was taken note of", task, number, executor, time.Since(at))
	}
	for other, n := range j.running[task] {
		j.violation("task %s run %d starts on %s (fence %d) while run %d is at work on %s", task, number, executor, fence, n, other)
	}
	if j.running[task] == nil {
		j.running[task] = map[string]int{}
	}
	j.running[task][executor] = number
	j.starts[task]++
	j.lastStart[task] = time.Now()
}

func (j *judge) violation(format string, args ...any) {
	j.rec.add("TWICE: "+format, args...)
	j.twice = append(j.twice, format)
}

func (j *judge) ended(task string, number int, executor, how string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.running[task][executor] == number {
		delete(j.running[task], executor)
	}
	j.endings++
	j.listedAt[endKey(task, number, executor)] = time.Now()
	j.lastEnd[task] = time.Now()
	switch how {
	case "done":
		if _, ok := j.done[task]; !ok {
			j.done[task] = time.Now()
		}
	case "failed":
		j.failed[task]++
	}
}

func endKey(task string, number int, executor string) string {
	return fmt.Sprintf("%s/%d/%s", task, number, executor)
}

// lateEnds returns how many ends were listed over ackTime ago, and how many of them weren't
// taken note of within ackTime.
func (j *judge) lateEnds() (listed, late int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for k, at := range j.listedAt {
		if time.Since(at) < ackTime {
			continue
		}
		listed++
		if took, ok := j.notedIn[k]; !ok || took > ackTime {
			late++
		}
	}
	return listed, late
}

func (j *judge) noted(task string, number int, executor string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	k := endKey(task, number, executor)
	j.notedIn[k] = time.Since(j.listedAt[k])
	j.taken++
	if _, ok := j.done[task]; ok {
		if _, ok := j.notedDone[task]; !ok {
			j.notedDone[task] = time.Now()
		}
	}
}

func (j *judge) noTicket(task, executor, why string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.tickets++
	if j.tickets <= 20 {
		j.rec.add("start of %s on %s is rejected (409, ticket): %s", task, executor, why)
	}
}

// count returns how many tasks of a job are running and how many are done.
func (j *judge) count(id string) (running, done int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for task, where := range j.running {
		if strings.HasPrefix(task, id+".") && len(where) > 0 {
			running++
		}
	}
	for task := range j.done {
		if strings.HasPrefix(task, id+".") {
			done++
		}
	}
	return running, done
}
