package rig3

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// amount is what a task needs or an executor has.
type amount struct {
	CPU int64 `json:"cpu,omitempty"`
	Mem int64 `json:"mem_mb,omitempty"`
	GPU int64 `json:"gpu,omitempty"`
}

// step is a step of a submitted job, with the fields of PROTOCOL.md.
type step struct {
	Count    int    `json:"count"`
	CPU      int64  `json:"cpu,omitempty"`
	Mem      int64  `json:"mem_mb,omitempty"`
	Est      int    `json:"est_ms,omitempty"`
	After    []int  `json:"after,omitempty"`
	Saves    bool   `json:"saves_progress,omitempty"`
	Gang     bool   `json:"gang,omitempty"`
	SameRack bool   `json:"same_rack,omitempty"`
	Requires string `json:"requires,omitempty"`
	Affinity string `json:"affinity,omitempty"`
	MaxPer   int    `json:"max_per_server,omitempty"`
	Spec     bool   `json:"speculative,omitempty"`
	Daemon   bool   `json:"daemon,omitempty"`

	work     time.Duration // of one task
	failures int           // the first runs of each task that fail by the job's fault
}

// job is a submitted job.
type job struct {
	ID       string `json:"-"`
	Spec     string `json:"spec"`
	Steps    []step `json:"steps"`
	Times    int    `json:"times,omitempty"`
	StartAt  int64  `json:"start_at_ms,omitempty"`
	Interval int64  `json:"interval_ms,omitempty"`

	tenant    string
	accepted  time.Time
	cancelled time.Time // when the cancelling was acknowledged
	refused   bool      // all attempts were rejected
}

func (j *job) body() []byte {
	data, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	return data
}

// occurrences returns how often the steps run.
func (j *job) occurrences() int { return max(1, j.Times) }

// taskName is a task as PROTOCOL.md names it.
func taskName(id string, k, step, index int) string {
	return fmt.Sprintf("%s.%d.%d.%d", id, k, step, index)
}

func parseTask(name string) (id string, k, st, index int, ok bool) {
	p := strings.Split(name, ".")
	if len(p) != 4 {
		return "", 0, 0, 0, false
	}
	var n [3]int
	for i := range n {
		v, err := strconv.Atoi(p[i+1])
		if err != nil {
			return "", 0, 0, 0, false
		}
		n[i] = v
	}
	return p[0], n[0], n[1], n[2], true
}

// taskState is what the world knows of a task.
type taskState struct {
	runs     map[*run]bool // on executors that are up
	done     bool          // a run has ended done
	doneSeen bool          // such an end was taken note of
	suspect  bool          // it was started after a done end that wasn't taken note of yet
	failed   int           // ends failed that were taken note of
	started  int
	saves    map[string]bool // checkpoints that are the task's
}

// world has the jobs, and checks the starts on all executors by RULES.md.
type world struct {
	mu        sync.Mutex // guards everything below, and the state of all executors
	rec       *record
	jobs      map[string]*job
	tasks     map[string]*taskState
	executors []*executor
	attempts  int
	capCPU    map[string]int64 // of tenants, 0 for none
	cancelFor time.Duration
}

func newWorld(rec *record) *world {
	w := &world{rec: rec, jobs: make(map[string]*job), tasks: make(map[string]*taskState), attempts: 3, capCPU: make(map[string]int64), cancelFor: 3 * time.Second}
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			w.mu.Lock()
			for _, e := range w.executors {
				e.tick()
			}
			w.mu.Unlock()
		}
	}()
	return w
}

func (w *world) add(j *job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.ID] = j
}

func (w *world) task(name string) *taskState {
	t := w.tasks[name]
	if t == nil {
		t = &taskState{runs: make(map[*run]bool), saves: make(map[string]bool)}
		w.tasks[name] = t
	}
	return t
}

// stepOf returns the job and the step of a task, nil if there are none.
func (w *world) stepOf(name string) (*job, *step) {
	id, k, st, index, ok := parseTask(name)
	j := w.jobs[id]
	if !ok || j == nil || k < 0 || k >= j.occurrences() || st < 0 || st >= len(j.Steps) || index < 0 || index >= j.Steps[st].Count {
		return nil, nil
	}
	return j, &j.Steps[st]
}

// checkStart checks a start. The run isn't in the world yet.
func (w *world) checkStart(e *executor, r *run) {
	j, st := w.stepOf(r.task)
	if j == nil || j.Spec != r.spec {
		w.rec.broken("UNASKED", "%s run %d on %s: nobody sent it so", r.task, r.number, e.id)
		return
	}
	id, k, sn, _, _ := parseTask(r.task)
	t := w.task(r.task)
	now := time.Now()
	if !st.Spec {
		for o := range t.runs {
			if !(st.Gang && o.number == r.number) {
				w.rec.broken("TWICE", "%s run %d starts on %s while run %d is on %s", r.task, r.number, e.id, o.number, o.executor.id)
			}
		}
		if t.doneSeen {
			w.rec.broken("TWICE", "%s run %d starts on %s after a done end was taken note of", r.task, r.number, e.id)
		}
		for _, x := range w.executors {
			for _, n := range x.ends {
				if n.task == r.task && n.how == "done" {
					n.overtaken = r.number
				}
			}
		}
	}
	for _, a := range st.After {
		for i := range j.Steps[a].Count {
			if !w.task(taskName(id, k, a, i)).done {
				w.rec.broken("ORDER", "%s run %d starts on %s before step %d is done", r.task, r.number, e.id, a)
			}
		}
	}
	if j.Times > 0 && now.UnixMilli()+250 < j.StartAt+int64(k)*j.Interval {
		w.rec.broken("ORDER", "%s run %d starts on %s %d ms too soon", r.task, r.number, e.id, j.StartAt+int64(k)*j.Interval-now.UnixMilli())
	}
	if st.Requires != "" && e.labels[0] != st.Requires && e.labels[1] != st.Requires {
		w.rec.broken("ROUTE", "%s on %s without label %s", r.task, e.id, st.Requires)
	}
	same, used, tenant := 1, amount{CPU: st.CPU, Mem: st.Mem}, st.CPU
	for _, x := range w.executors {
		for _, o := range x.runs {
			oj, os := w.stepOf(o.task)
			if oj == nil {
				continue
			}
			if x == e {
				used.CPU, used.Mem = used.CPU+os.CPU, used.Mem+os.Mem
				oid, ok, osn, _, _ := parseTask(o.task)
				if oid == id && ok == k && osn == sn {
					same++
				}
			}
			if oj.tenant == j.tenant {
				tenant += os.CPU
			}
		}
	}
	if used.CPU > e.room.CPU || used.Mem > e.room.Mem {
		w.rec.broken("LIMIT", "%s run %d on %s: %+v of %+v", r.task, r.number, e.id, used, e.room)
	}
	if st.MaxPer > 0 && same > st.MaxPer {
		w.rec.broken("ROUTE", "%s run %d on %s: %d of its step", r.task, r.number, e.id, same)
	}
	if limit := w.capCPU[j.tenant]; limit > 0 && float64(tenant) > 1.1*float64(limit)+float64(st.CPU) {
		w.rec.broken("QUOTA", "%s run %d on %s: tenant runs %d of %d", r.task, r.number, e.id, tenant, limit)
	}
	if !st.Daemon && t.failed >= w.attempts && !st.Spec {
		w.rec.broken("BUDGET", "%s run %d on %s after %d failed runs", r.task, r.number, e.id, t.failed)
	}
	if !j.cancelled.IsZero() && now.Sub(j.cancelled) > w.cancelFor {
		w.rec.broken("UNASKED", "%s run %d on %s %v after the cancelling was acknowledged", r.task, r.number, e.id, now.Sub(j.cancelled))
	}
	if j.refused {
		w.rec.broken("REFUSED", "%s run %d on %s", r.task, r.number, e.id)
	}
	if r.checkpoint != "" && !w.saveOf(r.task, st).saves[r.checkpoint] {
		w.rec.broken("UNASKED", "%s run %d on %s with checkpoint %s", r.task, r.number, e.id, r.checkpoint)
	}
	t.started++
}

// saveOf returns the task with the checkpoints of a task: those of a gang are under its first one.
func (w *world) saveOf(name string, st *step) *taskState {
	if id, k, sn, _, ok := parseTask(name); ok && st.Gang {
		return w.task(taskName(id, k, sn, 0))
	}
	return w.task(name)
}

// gangOf returns the runs of a gang with the number of r that are on executors.
func (w *world) gangOf(r *run) []*run {
	id, k, sn, _, _ := parseTask(r.task)
	var out []*run
	for _, e := range w.executors {
		for _, o := range e.runs {
			if oid, ok, osn, _, good := parseTask(o.task); good && oid == id && ok == k && osn == sn && o.number == r.number {
				out = append(out, o)
			}
		}
	}
	return out
}

// done reports how many tasks of a job have ended done, of how many.
func (w *world) doneTasks(id string) (done, all int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	j := w.jobs[id]
	for k := range j.occurrences() {
		for s := range j.Steps {
			for i := range j.Steps[s].Count {
				all++
				if w.task(taskName(id, k, s, i)).done {
					done++
				}
			}
		}
	}
	return done, all
}

// running returns the runs of a job on executors that are up.
func (w *world) running(id string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []string
	for _, e := range w.executors {
		for _, r := range e.runs {
			if strings.HasPrefix(r.task, id+".") {
				out = append(out, fmt.Sprintf("%s run %d on %s", r.task, r.number, e.id))
			}
		}
	}
	return out
}
