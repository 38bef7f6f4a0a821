package standin

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxLease  = 6 * time.Second // hold_max_ms
	heartbeat = 1500 * time.Millisecond
	stepTime  = 20 * time.Millisecond
	// maxReturn is the two seconds in which entries are back after an outage of the store.
	maxReturn = 2000 * time.Millisecond
)

// taskKind is how tasks of one spec behave on executors.
type taskKind struct {
	work    time.Duration // at full speed
	first   time.Duration // the same of the first step, 0 if it is no different
	lasts   bool
	serving bool // it has a target
	fills   bool
	cpu     int64
	fails   int // so many first runs fail at half of their work
}

// kinds has the behaviour of tasks by the spec of their job.
type kinds map[string]taskKind

// execConfig describes one executor.
type execConfig struct {
	id, zone string
	labels   []string
	cpu      int64
	mem      int64
}

// executor is a stand-in of one executor.
type executor struct {
	cfg    execConfig
	rig    *rig
	addr   string
	server *http.Server

	mu       sync.Mutex
	up       bool
	away     bool // it can't write its entry
	born     time.Time
	fence    int64
	leaseEnd time.Duration
	runs     map[string]*activeRun
	highest  map[string]int
	ends     [][]any
	seq      int64
	beat     int64
	changed  chan struct{}
	stop     chan struct{}
}

type activeRun struct {
	task   string
	number int
	kind   taskKind
	done   time.Duration // work done
	pct    int
	last   time.Time
}

func newExecutor(r *rig, cfg execConfig) *executor {
	return &executor{cfg: cfg, rig: r}
}

// start begins a life of the executor: it listens and then registers.
func (e *executor) start() error {
	addr := e.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.addr = ln.Addr().String()
	e.up, e.born, e.fence, e.leaseEnd, e.seq, e.beat = true, time.Now(), 0, 0, 0, 0
	e.runs, e.highest, e.ends = map[string]*activeRun{}, map[string]int{}, nil
	e.changed, e.stop = make(chan struct{}), make(chan struct{})
	e.server = &http.Server{Handler: e}
	stop, server := e.stop, e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(ln) }()
	time.Sleep(txTime + answerTime) // The write of its entry takes as long as any other.
	e.register()
	go func() {
		time.Sleep(rand.N(heartbeat)) // Executors report at different moments.
		beat := time.NewTicker(heartbeat)
		defer beat.Stop()
		for {
			select {
			case <-stop:
				return
			case <-beat.C:
				e.mu.Lock()
				away := e.away
				e.mu.Unlock()
				if !away {
					e.register()
				}
			}
		}
	}()
	go func() {
		step := time.NewTicker(stepTime)
		defer step.Stop()
		for {
			select {
			case <-stop:
				return
			case <-step.C:
				e.mu.Lock()
				if e.up {
					e.work(time.Now())
				}
				e.mu.Unlock()
			}
		}
	}()
	return nil
}

// crash ends the life of the executor without a word.
func (e *executor) crash() {
	e.mu.Lock()
	for _, r := range e.runs {
		e.rig.note("executor %s: crash ends %s run %d", e.cfg.id, r.task, r.number)
		e.rig.gone(e, r, "crashed")
	}
	e.up = false
	close(e.stop)
	close(e.changed)
	e.changed = make(chan struct{})
	server := e.server
	e.mu.Unlock()
	_ = server.Close()
}

// register writes the executor's entry.
func (e *executor) register() {
	e.mu.Lock()
	e.beat++
	data, _ := json.Marshal(map[string]any{
		"service": "svc", "addr": e.addr, "zone": e.cfg.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int64{"cpu": e.cfg.cpu, "mem_mb": e.cfg.mem, "gpu": 0}, "labels": e.cfg.labels,
		"born": e.born.UnixMilli(), "seq": e.beat,
	})
	e.mu.Unlock()
	if !e.rig.store.report(e.cfg.id, data) {
		e.mu.Lock()
		again := !e.away
		e.away = true
		e.mu.Unlock()
		if again {
			go e.returns()
		}
	}
}

// returns registers the executor again within two seconds of the store's return.
func (e *executor) returns() {
	for e.rig.store.isDown() {
		time.Sleep(20 * time.Millisecond)
	}
	// Half of them come back soon, the others only just in time.
	delay := rand.N(maxReturn / 4)
	if rand.IntN(2) == 0 {
		delay = maxReturn - delay
	}
	time.Sleep(delay)
	e.mu.Lock()
	e.away = false
	up := e.up
	e.mu.Unlock()
	if up {
		e.register()
		e.rig.note("executor %s has registered again", e.cfg.id)
	}
}

func (e *executor) clock() time.Duration { return time.Since(e.born) }

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Fence    int64  `json:"fence"`
	Deadline int64  `json:"deadline_ms"`
	Ack      int64  `json:"ack_cursor"`
	Wait     int64  `json:"wait_ms"`
	Pct      int    `json:"pct"`
}

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("X-Balsamford-Expect-Instance"); want != "" && want != e.cfg.id {
		e.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.work(time.Now())
	reason := e.obey(r.URL.Path, o)
	if reason != "" {
		body := map[string]any{"clock_ms": e.clock().Milliseconds(), "reason": reason, "born": e.born.UnixMilli()}
		e.mu.Unlock()
		writeJSON(w, http.StatusConflict, body)
		return
	}
	if r.URL.Path == "/api/hold" {
		e.hold(w, r, o) // It unlocks.
		return
	}
	body := map[string]any{"clock_ms": e.clock().Milliseconds(), "born": e.born.UnixMilli()}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

// obey carries an order out and returns the reason if it is rejected.
func (e *executor) obey(path string, o order) string {
	if o.Fence < e.fence {
		return "fence"
	}
	e.fence = o.Fence
	if end := min(e.clock()+maxLease, time.Duration(o.Deadline)*time.Millisecond); end > e.leaseEnd {
		e.leaseEnd = end
	}
	switch path {
	case "/api/run-start":
		return e.startRun(o)
	case "/api/run-stop":
		e.highest[o.Task] = max(e.highest[o.Task], o.Run)
		if r := e.runs[o.Task]; r != nil && r.number <= o.Run {
			e.end(r, "stopped")
		}
	case "/api/pace":
		if r := e.runs[o.Task]; r != nil && r.number == o.Run {
			e.rig.note("executor %s: pace of %s run %d is %d", e.cfg.id, o.Task, o.Run, o.Pct)
			r.pct = o.Pct
		}
	case "/api/hold":
		for len(e.ends) > 0 && e.ends[0][0].(int64) <= o.Ack {
			e.rig.noted(e.endName(e.ends[0][0].(int64)), e.ends[0][1].(string), e.ends[0][3].(string))
			e.ends = e.ends[1:]
		}
	}
	return ""
}

func (e *executor) startRun(o order) string {
	if r := e.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	if e.runs[o.Task] != nil || e.highest[o.Task] >= o.Run {
		return "old"
	}
	if o.Deadline > 0 && time.Duration(o.Deadline)*time.Millisecond <= e.clock() || e.leaseEnd <= e.clock() {
		return "late"
	}
	kind := e.rig.kinds[o.Spec]
	if _, step := jobOf(o.Task); step == 0 && kind.first > 0 {
		kind.work = kind.first
	}
	r := &activeRun{task: o.Task, number: o.Run, kind: kind, pct: 100, last: time.Now()}
	e.runs[o.Task] = r
	e.rig.started(e, r, o.Spec)
	return ""
}

// work lets all runs work up to now, and ends those that are due.
func (e *executor) work(now time.Time) {
	if e.leaseEnd <= e.clock() {
		for _, r := range e.runs {
			e.end(r, "lapsed")
		}
		return
	}
	for _, r := range e.runs {
		r.done += time.Duration(float64(now.Sub(r.last)) * float64(r.pct) / 100)
		r.last = now
		switch {
		case r.kind.lasts:
		case r.kind.fails > 0 && r.done >= r.kind.work/2 && e.rig.failures(r.task) < r.kind.fails:
			e.end(r, "failed")
		case r.done >= r.kind.work:
			e.end(r, "done")
		}
	}
}

func (e *executor) end(r *activeRun, how string) {
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.seq++
	e.ends = append(e.ends, []any{e.seq, r.task, r.number, how, ""})
	e.rig.gone(e, r, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

// endName names an end of this life of the executor.
func (e *executor) endName(seq int64) string {
	return fmt.Sprintf("%s/%d/%d", e.cfg.id, e.born.UnixMilli(), seq)
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request, o order) {
	deadline := time.After(time.Duration(o.Wait) * time.Millisecond)
	for len(e.ends) == 0 && o.Wait > 0 && e.up {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			o.Wait = 0
		case <-r.Context().Done():
			return
		}
		e.mu.Lock()
	}
	if !e.up {
		e.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	e.work(time.Now())
	running := [][]any{}
	filler := 0 // the highest pace of a task that fills
	for _, run := range e.runs {
		if run.kind.fills {
			filler = max(filler, run.pct)
		}
	}
	for _, run := range e.runs {
		pct, gauge := 100, int64(0)
		if !run.kind.lasts {
			pct, gauge = min(99, int(100*run.done/run.kind.work)), run.kind.cpu*int64(run.pct)/100
		}
		if run.kind.serving {
			gauge = 60 // ms, alone or beside paused tasks
			if filler > 0 {
				gauge = 85 + int64(filler)/10
			}
		}
		running = append(running, []any{run.task, run.number, "", pct, gauge})
	}
	ended := e.ends
	if ended == nil {
		ended = [][]any{}
	}
	body := map[string]any{"clock_ms": e.clock().Milliseconds(), "born": e.born.UnixMilli(), "running": running, "ended": ended[:min(500, len(ended))]}
	data, _ := json.Marshal(body)
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// jobOf returns the ID of a task's job, and its step.
func jobOf(task string) (id string, step int) {
	parts := strings.Split(task, ".")
	if len(parts) != 4 {
		return task, -1
	}
	n, err := strconv.Atoi(parts[2])
	if err != nil {
		return parts[0], -1
	}
	return parts[0], n
}

func (e *executor) String() string {
	return fmt.Sprintf("%s (%s)", e.cfg.id, strings.Join(e.cfg.labels, ","))
}
