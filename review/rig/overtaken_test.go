package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	pressLabel = "press"
	upTime     = 25 * time.Second       // from the first life's start until it gets work
	downTime   = 300 * time.Millisecond // from the crash until the executor listens again
	entryDelay = 300 * time.Millisecond // from then until it writes its entry
	lateAnswer = 700 * time.Millisecond // how long the last answer of the first life is on its way
)

type connKey struct{}

// life serves an executor at one address, and lets its process crash and start again.
type life struct {
	e       *executor
	addr    string
	mu      sync.Mutex
	conns   map[net.Conn]bool
	ln      net.Listener
	holding bool // the next answer to a hold that lists an end is late
	held    chan struct{}
}

func (l *life) listen() error {
	ln, err := net.Listen("tcp", l.addr)
	if err != nil {
		return err
	}
	l.addr = ln.Addr().String()
	l.ln = ln
	server := &http.Server{
		Handler:     l,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, s http.ConnState) {
			l.mu.Lock()
			defer l.mu.Unlock()
			switch s {
			case http.StateNew:
				l.conns[c] = true
			case http.StateClosed:
				delete(l.conns, c)
			}
		},
	}
	go func() { _ = server.Serve(ln) }()
	return nil
}

// ServeHTTP serves a call. The answer to a hold may stay on its way while the process crashes.
func (l *life) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	rec := &answer{header: http.Header{}}
	l.e.ServeHTTP(rec, r)
	l.mu.Lock()
	late := l.holding && r.URL.Path == "/api/hold" && rec.code == 200 && !strings.Contains(rec.body.String(), `"ended":[]`)
	if late {
		l.holding = false
		c, _ := r.Context().Value(connKey{}).(net.Conn)
		delete(l.conns, c)
		close(l.held)
	}
	l.mu.Unlock()
	if late {
		l.e.rec.line("%s: an answer is on its way: %s", l.e.id, rec.body.String())
		time.Sleep(lateAnswer)
		l.e.rec.line("%s: that answer arrives", l.e.id)
		w.Header().Set("Connection", "close")
	}
	if rec.code == 0 {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(rec.code)
	_, _ = w.Write([]byte(rec.body.String()))
}

// crash ends the process: nothing runs, all connections but that of the late answer are reset.
func (l *life) crash() {
	_ = l.ln.Close()
	l.mu.Lock()
	conns := make([]net.Conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.conns = make(map[net.Conn]bool)
	l.mu.Unlock()
	for _, c := range conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	e := l.e
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rec.line("%s crashes", e.id)
	e.judge.mu.Lock()
	for _, s := range e.runs {
		s.to, s.how = time.Now(), "crashed"
	}
	e.judge.mu.Unlock()
	e.runs, e.work, e.highest, e.ends = make(map[string]*span), make(map[string]time.Duration), make(map[string]int), nil
	e.fence, e.lease, e.seq = 0, 0, 0
}

// restart starts the process again under the same id and address.
func (l *life) restart() error {
	l.e.mu.Lock()
	l.e.born = time.Now()
	l.e.beat = time.Now().Add(entryDelay - heartbeat)
	l.e.mu.Unlock()
	l.e.rec.line("%s starts again", l.e.id)
	return l.listen()
}

// answer collects an answer.
type answer struct {
	header http.Header
	code   int
	body   strings.Builder
}

func (a *answer) Header() http.Header         { return a.header }
func (a *answer) WriteHeader(code int)        { a.code = code }
func (a *answer) Write(b []byte) (int, error) { return a.body.Write(b) }

// press returns a job that only the executor with the label can run.
func press(ms int) []byte {
	data, _ := json.Marshal(map[string]any{"spec": fmt.Sprintf("ms=%d", ms), "steps": []any{map[string]any{"count": 1, "cpu": 500, "mem_mb": 200, "est_ms": ms, "requires": pressLabel}}})
	return data
}

// overtaken: an executor crashes and starts again under its id, and an answer that it gave before
// is overtaken by one that it gave after.
func overtaken(rec *record, trouble bool) (int, error) {
	w, err := newWorld(rec, []string{"a", "b", "c"}, 3, func(*executor) {})
	if err != nil {
		return failed, err
	}
	defer w.close()
	e := &executor{id: "i-press", zone: "b", labels: []string{pressLabel}, judge: w.judge, rec: rec, store: w.store, born: time.Now(), runs: make(map[string]*span), work: make(map[string]time.Duration), highest: make(map[string]int), changed: make(chan struct{})}
	l := &life{e: e, addr: loopback() + ":0", conns: make(map[net.Conn]bool), held: make(chan struct{})}
	if err := l.listen(); err != nil {
		return failed, err
	}
	e.addr = l.addr
	w.executors = append(w.executors, e)
	go e.beatLoop(w.stop, func(*executor) {})
	for _, n := range w.nodes {
		if err := w.start(n); err != nil {
			return failed, err
		}
	}
	for _, n := range w.nodes {
		if err := w.await(n.name+" to be ready", 20*time.Second, func() bool { return w.ready(n) }); err != nil {
			return failed, err
		}
	}
	var ids []string
	send := func(body []byte) error {
		id := fmt.Sprintf("%016x", rand.Uint64())
		ids = append(ids, id)
		if code, _ := w.call(w.nodes[rand.IntN(3)], "POST", id, body); code != 200 {
			return fmt.Errorf("a job wasn't accepted")
		}
		return nil
	}
	time.Sleep(upTime)
	if err := send(press(6000)); err != nil {
		return failed, err
	}
	time.Sleep(1500 * time.Millisecond)
	waiting := make(chan struct{}, 1)
	e.mu.Lock()
	e.onHold = func() {
		select {
		case waiting <- struct{}{}:
		default:
		}
	}
	e.mu.Unlock()
	select {
	case <-waiting: // The next end goes into the answer to this call.
	case <-time.After(5 * time.Second):
		return failed, fmt.Errorf("no call waits for an end")
	}
	if trouble {
		l.mu.Lock()
		l.holding = true
		l.mu.Unlock()
	}
	if err := send(press(200)); err != nil {
		return failed, err
	}
	if trouble {
		select {
		case <-l.held:
		case <-time.After(5 * time.Second):
			return failed, fmt.Errorf("no answer listed an end")
		}
		l.crash()
		time.Sleep(downTime)
		if err := l.restart(); err != nil {
			return failed, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err := send(press(400)); err != nil {
		return failed, err
	}
	code := held
	time.Sleep(14 * time.Second) // finish_s
	for id := range w.stuck(ids, 3*time.Second) {
		code = broken
		s := fmt.Sprintf("LOST: for 3 s, job %s isn't done and has nothing running, and %s has room", id, e.id)
		rec.line("%s", s)
		fmt.Println(s)
	}
	time.Sleep(upTime - 10*time.Second) // The second life is then as old as the first one was.
	for _, id := range ids {
		w.call(w.nodes[0], "GET", id, nil)
	}
	for _, s := range w.judge.twice() {
		code = broken
		rec.line("%s", s)
		fmt.Println(s)
	}
	return code, nil
}

// stuck returns the jobs that aren't done and have nothing running all the while.
func (w *world) stuck(ids []string, while time.Duration) map[string]bool {
	out := make(map[string]bool)
	for _, id := range ids {
		if code, text := w.call(w.nodes[0], "GET", id, nil); code == 200 && !strings.Contains(text, "done") {
			out[id] = true
		}
	}
	for end := time.Now().Add(while); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		w.judge.mu.Lock()
		for id := range out {
			for _, s := range w.judge.spans[id+".0.0.0"] {
				if s.to.IsZero() {
					delete(out, id)
				}
			}
		}
		w.judge.mu.Unlock()
	}
	for id := range out {
		if code, text := w.call(w.nodes[0], "GET", id, nil); code != 200 || strings.Contains(text, "done") {
			delete(out, id)
		}
	}
	return out
}
