package check

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	holdMax   = 6 * time.Second
	stopTime  = 50 * time.Millisecond // stop_ms is 200
	cpuRoom   = 32000
	memRoom   = 131072
)

// executor is a worker of the platform. A task's work time stands in its spec, for each step:
// "ms=300,500"; "last" is a task that lasts. It doesn't guard its capacity.
type executor struct {
	rec  *record
	plat *platform
	id   string
	zone string
	addr string

	mu       sync.Mutex
	born     time.Time
	fence    int64
	leaseEnd int64 // on its clock, in ms
	runs     map[string]*taskRun
	highest  map[string]int // highest number stopped or ended, by task
	ends     [][]any
	seq      int64
	changed  chan struct{}
	beats    int
}

type taskRun struct {
	task   string
	number int
	began  time.Time
	work   time.Duration // 0: lasts
}

func newExecutor(p *platform, id, zone string) *executor {
	return &executor{rec: p.rec, plat: p, id: id, zone: zone, born: time.Now(), runs: map[string]*taskRun{}, highest: map[string]int{}, changed: make(chan struct{})}
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() }

// live sends heartbeats and ends runs until stop is closed.
func (e *executor) live(stop <-chan struct{}) {
	beat, tick := time.NewTicker(heartbeat), time.NewTicker(10*time.Millisecond)
	defer beat.Stop()
	defer tick.Stop()
	e.beat()
	for {
		select {
		case <-stop:
			return
		case <-beat.C:
			e.beat()
		case <-tick.C:
			e.mu.Lock()
			e.advance()
			e.mu.Unlock()
		}
	}
}

func (e *executor) beat() {
	e.mu.Lock()
	e.beats++
	data, _ := json.Marshal(map[string]any{
		"service": service, "addr": e.addr, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": cpuRoom, "mem_mb": memRoom, "gpu": 0}, "labels": []string{"a", "r-" + e.zone}, "clock_ms": e.clock(),
		"born": e.born.UnixMilli(), "seq": e.beats,
	})
	e.mu.Unlock()
	e.plat.store.put("servers", e.id, data)
}

// advance ends the runs whose lease or work is over.
func (e *executor) advance() {
	lapsed := e.leaseEnd <= e.clock()
	for _, r := range e.runs {
		switch {
		case lapsed:
			e.end(r, "lapsed")
		case r.work > 0 && time.Since(r.began) >= r.work:
			e.end(r, "done")
		}
	}
}

func (e *executor) end(r *taskRun, how string) {
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.seq++
	e.ends = append(e.ends, []any{e.seq, r.task, r.number, how, ""})
	e.plat.judge.ended(r.task, r.number, e.id, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Fence    int64  `json:"fence"`
	Ticket   string `json:"ticket"`
	Ack      int64  `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
}

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("X-Balsamford-Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance()
	refuse := func(reason string) {
		respond(w, http.StatusConflict, map[string]any{"clock_ms": e.clock(), "reason": reason, "born": e.born.UnixMilli()})
	}
	if o.Fence < e.fence {
		refuse("fence")
		return
	}
	e.fence = o.Fence
	e.leaseEnd = max(e.leaseEnd, min(o.Deadline, e.clock()+holdMax.Milliseconds()))
	switch r.URL.Path {
	case "/api/run-start":
		if reason := e.start(o); reason != "" {
			refuse(reason)
			return
		}
	case "/api/run-stop":
		e.stop(o)
	case "/api/pace":
	case "/api/hold":
		e.hold(w, r, o)
		return
	default:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, http.StatusOK, map[string]any{"clock_ms": e.clock(), "born": e.born.UnixMilli()})
}

func (e *executor) start(o order) string {
	if r := e.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	switch {
	case o.Run <= e.highest[o.Task]:
		return "old"
	case e.leaseEnd <= e.clock():
		return "late"
	}
	if why := e.plat.tickets.check(o.Task, e.id, o.Ticket); why != "" {
		e.plat.judge.noTicket(o.Task, e.id, why)
		return "ticket"
	}
	e.runs[o.Task] = &taskRun{task: o.Task, number: o.Run, began: time.Now(), work: workTime(o.Spec, o.Task)}
	e.plat.judge.started(o.Task, o.Run, e.id, o.Fence, o.Spec)
	return ""
}

func (e *executor) stop(o order) {
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if r := e.runs[o.Task]; r != nil && r.number == o.Run {
		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.runs[o.Task] == r {
				e.end(r, "stopped")
			}
		})
	}
}

// hold answers with the lists. It is called with mu held.
func (e *executor) hold(w http.ResponseWriter, r *http.Request, o order) {
	for len(e.ends) > 0 && e.ends[0][0].(int64) <= o.Ack {
		e.plat.judge.noted(e.ends[0][1].(string), e.ends[0][2].(int), e.id)
		e.ends = e.ends[1:]
	}
	deadline := time.After(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
	for wait := o.Wait; len(e.ends) == 0 && wait > 0; {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			wait = 0
		}
		e.mu.Lock()
		e.advance()
	}
	running, ended := [][]any{}, [][]any{}
	for _, run := range e.runs {
		percent := 100
		if run.work > 0 {
			percent = min(99, int(100*time.Since(run.began)/run.work))
		}
		running = append(running, []any{run.task, run.number, "", percent, 0})
	}
	ended = append(ended, e.ends[:min(500, len(e.ends))]...)
	respond(w, http.StatusOK, map[string]any{"clock_ms": e.clock(), "born": e.born.UnixMilli(), "running": running, "ended": ended})
}

// workTime returns the work of a task by its job's spec, 0 for a task that lasts.
func workTime(spec, task string) time.Duration {
	spec, _, _ = strings.Cut(spec, " ")
	if spec == "last" {
		return 0
	}
	step, _ := strconv.Atoi(strings.Split(task, ".")[2])
	times := strings.Split(strings.TrimPrefix(spec, "ms="), ",")
	ms, err := strconv.Atoi(times[min(step, len(times)-1)])
	if err != nil {
		return 150 * time.Millisecond
	}
	return time.Duration(ms) * time.Millisecond
}

// tickets are the answers of the placement adviser.
type tickets struct {
	plat *platform

	mu     sync.Mutex
	issued map[string]time.Time // until when, by step, executor and text
	queue  map[string]string    // route's name by job
	calls  int
}

func (t *tickets) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(21*time.Millisecond + time.Duration(len(q.Workers))*290*time.Microsecond)
	t.mu.Lock()
	defer t.mu.Unlock()
	allowed := [][]string{}
	for _, id := range q.Workers {
		t.calls++
		text := fmt.Sprintf("t%d", t.calls)
		t.issued[q.Step+"/"+id+"/"+text] = time.Now().Add(validFor)
		allowed = append(allowed, []string{id, text})
	}
	respond(w, http.StatusOK, map[string]any{"allowed": allowed, "valid_ms": validFor.Milliseconds()})
}

const validFor = 2 * time.Second

// check returns why a start has to be rejected with the reason "ticket", or nothing.
func (t *tickets) check(task, id, text string) string {
	step := task[:strings.LastIndex(task, ".")]
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.plat.config.hinted(t.queue[strings.Split(task, ".")[0]]) {
		return ""
	}
	until, ok := t.issued[step+"/"+id+"/"+text]
	switch {
	case text == "":
		return "no ticket"
	case !ok || time.Now().After(until):
		return "ticket unknown or too old"
	}
	return ""
}
