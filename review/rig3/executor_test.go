package rig3

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// Bounds of the stand-ins, as in the settings.
const (
	holdMax    = 6 * time.Second
	gangWait   = 3 * time.Second
	saveEvery  = 500 * time.Millisecond
	heartbeat  = 1500 * time.Millisecond
	entryTTL   = 3 * heartbeat
	service    = "svc"
	endsListed = 500
)

// run is a run on an executor.
type run struct {
	executor   *executor
	task       string
	number     int
	spec       string
	checkpoint string // that it began with
	began      time.Time
	works      time.Time // when its work began, zero for not yet
	had        time.Duration
	saved      string
	savedAt    time.Duration
}

// end is an end that an executor lists.
type end struct {
	seq    int64
	task   string
	number int
	how    string
	saved  string
	lapsed bool // the lease has lapsed since
	// overtaken is the last run of the task that started after this end and before it was taken note of.
	overtaken int
}

// executor stands in for an executor, as PROTOCOL.md describes it. The world's mu guards it.
type executor struct {
	w      *world
	store  *store
	id     string
	zone   string
	labels [2]string
	room   amount
	addr   string
	clock  func() time.Time // its time of day
	server *server

	up       bool
	born     time.Time // by the real clock
	bornMS   int64     // by its time of day
	fence    int64
	leaseEnd time.Duration
	runs     map[string]*run
	highest  map[string]int
	ends     []*end
	seq      int64
	beat     time.Time
	beats    int
	draining bool
	changed  chan struct{}
	// hook is called before a call is executed, without the lock. It returns false if the connection
	// is to be cut, and may wait.
	hook func(path string) bool
}

func (w *world) newExecutor(s *store, id, zone, rack, kind, ip string, room amount) *executor {
	e := &executor{w: w, store: s, id: id, zone: zone, labels: [2]string{kind, rack}, room: room, addr: ip + ":0", clock: time.Now, changed: make(chan struct{})}
	w.mu.Lock()
	w.executors = append(w.executors, e)
	w.mu.Unlock()
	return e
}

// start begins a life of the executor at its address.
func (e *executor) start() error {
	srv, err := serve(e.addr, e)
	if err != nil {
		return err
	}
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	e.server, e.addr = srv, srv.addr
	e.up, e.born, e.bornMS = true, time.Now(), e.clock().UnixMilli()
	e.fence, e.leaseEnd, e.seq, e.ends = 0, 0, 0, nil
	e.runs, e.highest = make(map[string]*run), make(map[string]int)
	e.w.rec.note("%s starts, born %d", e.id, e.bornMS)
	e.report()
	return nil
}

// crash ends the life at once.
func (e *executor) crash() {
	e.w.mu.Lock()
	e.tick()
	e.up = false
	for _, r := range e.runs {
		e.w.rec.note("%s run %d on %s is lost with it", r.task, r.number, e.id)
		delete(e.w.task(r.task).runs, r)
		if _, st := e.w.stepOf(r.task); st != nil && st.Gang && !r.works.IsZero() {
			for _, o := range e.w.gangOf(r) {
				if o.executor != e {
					o.executor.endRun(o, "broken")
				}
			}
		}
	}
	for _, x := range e.ends { // Nobody can take note of them any more.
		x.lapsed = true
	}
	e.runs = make(map[string]*run)
	srv := e.server
	e.w.mu.Unlock()
	srv.stop()
	e.w.rec.note("%s crashes", e.id)
}

// leave ends the life after a graceful shutdown, with its entry.
func (e *executor) leave() {
	e.crash()
	e.w.mu.Lock()
	defer e.w.mu.Unlock()
	e.beats = 0
	e.store.put("servers", e.id, nil)
	e.w.rec.note("%s has left", e.id)
}

// report writes the entry. The lock is held.
func (e *executor) report() {
	e.beat = time.Now()
	e.beats++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	data, err := json.Marshal(map[string]any{
		"service": service, "addr": e.addr, "zone": e.zone, "version": "v1", "slots": 8, "state": state, "cold_left_ms": 0, "seq": e.beats,
		"capacity": e.room, "labels": e.labels, "born": e.bornMS,
	})
	if err != nil {
		panic(err)
	}
	e.store.put("servers", e.id, data)
}

func (e *executor) now() time.Duration { return time.Since(e.born) }

// tick ends what is due. The lock is held.
func (e *executor) tick() {
	if !e.up {
		if e.beats > 0 && time.Since(e.beat) > entryTTL {
			e.beats = 0
			e.store.put("servers", e.id, nil)
		}
		return
	}
	if time.Since(e.beat) > heartbeat {
		e.report()
	}
	lapsed := e.leaseEnd <= e.now()
	if lapsed {
		for _, x := range e.ends {
			x.lapsed = true
		}
	}
	for _, r := range e.runs {
		if lapsed {
			e.finish(r, "lapsed")
			continue
		}
		e.progress(r)
	}
}

// progress lets a run work. The lock is held.
func (e *executor) progress(r *run) {
	_, st := e.w.stepOf(r.task)
	if st == nil {
		return
	}
	now := time.Now()
	if r.works.IsZero() {
		if st.Gang {
			if members := e.w.gangOf(r); len(members) < st.Count {
				if now.Sub(r.began) > gangWait {
					e.finish(r, "alone")
				}
				return
			}
		}
		r.works = now
	}
	if st.Daemon {
		return
	}
	worked := r.had + now.Sub(r.works)
	if st.Saves && worked-r.savedAt >= saveEvery && worked < st.work {
		r.savedAt = worked
		e.save(r, st)
	}
	if worked < st.work {
		return
	}
	how := "done"
	if e.w.task(r.task).started <= st.failures {
		how = "failed"
	}
	if !st.Gang {
		e.finish(r, how)
		return
	}
	for _, o := range e.w.gangOf(r) {
		o.executor.endRun(o, how)
		if how != "done" {
			how = "broken"
		}
	}
}

// save makes a checkpoint. The lock is held.
func (e *executor) save(r *run, st *step) {
	r.saved = fmt.Sprintf("%s@%d", r.task, r.savedAt.Milliseconds())
	e.w.saveOf(r.task, st).saves[r.saved] = true
}

// finish ends a run, and breaks its gang unless it is done. The lock is held.
func (e *executor) finish(r *run, how string) {
	_, st := e.w.stepOf(r.task)
	var others []*run
	if st != nil && st.Gang && how != "done" && how != "alone" && !r.works.IsZero() {
		others = e.w.gangOf(r)
	}
	e.endRun(r, how)
	for _, o := range others {
		if o != r {
			o.executor.endRun(o, "broken")
		}
	}
}

// endRun lists the end of a run. The lock is held.
func (e *executor) endRun(r *run, how string) {
	if e.runs[r.task] != r {
		return
	}
	_, st := e.w.stepOf(r.task)
	if st != nil && st.Saves && how == "stopped" && !r.works.IsZero() {
		r.savedAt = r.had + time.Since(r.works)
		e.save(r, st)
	}
	delete(e.runs, r.task)
	t := e.w.task(r.task)
	delete(t.runs, r)
	if how == "done" {
		t.done = true
	}
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.seq++
	e.ends = append(e.ends, &end{seq: e.seq, task: r.task, number: r.number, how: how, saved: r.saved, lapsed: how == "lapsed"})
	e.w.rec.note("%s run %d on %s: %s", r.task, r.number, e.id, how)
	if how == "alone" {
		e.w.rec.note("gang %s run %d ended alone", r.task, r.number)
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// order is the body of all calls.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	Checkpoint string `json:"checkpoint"`
	Fence      int64  `json:"fence"`
	Deadline   int64  `json:"deadline_ms"`
	Ack        int64  `json:"ack_cursor"`
	Wait       int64  `json:"wait_ms"`
}

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.Unmarshal(readBody(r), &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if e.hook != nil && !e.hook(r.URL.Path) {
		panic(http.ErrAbortHandler)
	}
	e.w.mu.Lock()
	if !e.up {
		e.w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if want := r.Header.Get("X-Balsamford-Expect-Instance"); want != "" && want != e.id {
		e.w.mu.Unlock()
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.tick()
	life := e.born
	reason := e.execute(r.URL.Path, o)
	if reason != "" {
		body := map[string]any{"clock_ms": e.now().Milliseconds(), "reason": reason, "born": e.bornMS}
		e.w.mu.Unlock()
		writeJSON(w, http.StatusConflict, body)
		return
	}
	if r.URL.Path != "/api/hold" {
		body := map[string]any{"clock_ms": e.now().Milliseconds(), "born": e.bornMS}
		e.w.mu.Unlock()
		writeJSON(w, http.StatusOK, body)
		return
	}
	deadline := time.After(time.Duration(o.Wait) * time.Millisecond)
	for waiting := o.Wait > 0; waiting && len(e.ends) == 0; {
		changed := e.changed
		e.w.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-r.Context().Done():
			return
		}
		e.w.mu.Lock()
	}
	if !e.up || !e.born.Equal(life) {
		e.w.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for _, x := range e.runs {
		running = append(running, []any{x.task, x.number, x.saved, e.percent(x), 0})
	}
	for _, x := range e.ends[:min(len(e.ends), endsListed)] {
		ended = append(ended, []any{x.seq, x.task, x.number, x.how, x.saved})
	}
	body := map[string]any{"clock_ms": e.now().Milliseconds(), "born": e.bornMS, "running": running, "ended": ended}
	e.w.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

func (e *executor) percent(r *run) int {
	_, st := e.w.stepOf(r.task)
	switch {
	case st == nil || r.works.IsZero():
		return 0
	case st.Daemon:
		return 100
	}
	return int(min(99, 100*(r.had+time.Since(r.works))/max(1, st.work)))
}

// execute carries an order out and returns the reason if it is rejected. The lock is held.
func (e *executor) execute(path string, o order) string {
	if o.Fence < e.fence {
		return "fence"
	}
	e.fence = o.Fence
	if until := min(time.Duration(o.Deadline)*time.Millisecond, e.now()+holdMax); until > e.leaseEnd {
		e.leaseEnd = until
	}
	switch path {
	case "/api/run-start":
		return e.startRun(o)
	case "/api/run-stop":
		e.highest[o.Task] = max(e.highest[o.Task], o.Run)
		if r := e.runs[o.Task]; r != nil && r.number == o.Run {
			e.finish(r, "stopped")
		}
	case "/api/hold":
		for len(e.ends) > 0 && e.ends[0].seq <= o.Ack {
			x := e.ends[0]
			e.ends = e.ends[1:]
			e.takeNote(x)
		}
	}
	return ""
}

// takeNote notes that an end was taken note of. The lock is held.
func (e *executor) takeNote(x *end) {
	t := e.w.task(x.task)
	switch {
	case x.lapsed:
	case x.how == "done":
		t.doneSeen = true
		if x.overtaken > 0 {
			e.w.rec.broken("TWICE", "%s run %d started after run %d on %s, whose done end is taken note of now", x.task, x.overtaken, x.number, e.id)
		}
	case x.how == "failed":
		t.failed++
	}
}

func (e *executor) startRun(o order) string {
	if r := e.runs[o.Task]; r != nil && r.number == o.Run {
		return ""
	}
	switch {
	case e.highest[o.Task] >= o.Run:
		return "old"
	case e.runs[o.Task] != nil:
		return "old"
	case e.leaseEnd <= e.now():
		return "late"
	}
	r := &run{executor: e, task: o.Task, number: o.Run, spec: o.Spec, checkpoint: o.Checkpoint, began: time.Now(), saved: o.Checkpoint}
	e.w.rec.note("%s run %d starts on %s (fence %d)", o.Task, o.Run, e.id, o.Fence)
	e.w.checkStart(e, r)
	if at := lastIndexByte(o.Checkpoint, '@'); at >= 0 {
		ms, _ := strconv.Atoi(o.Checkpoint[at+1:])
		r.had = time.Duration(ms) * time.Millisecond
		r.savedAt = r.had
	}
	e.runs[o.Task] = r
	e.w.task(o.Task).runs[r] = true
	return ""
}

func lastIndexByte(s string, c byte) int {
	for i := len(s) - 1; i >= 0; i-- {
		if s[i] == c {
			return i
		}
	}
	return -1
}
