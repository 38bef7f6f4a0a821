package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	darkTime   = 300 * time.Millisecond
	darkRounds = 2
)

// powered serves an executor whose machine loses power: its connections go silent, and only what
// is sent on them after the restart is answered by a reset.
type powered struct {
	e    *executor
	addr string

	mu   sync.Mutex
	ln   net.Listener
	life int
	dark bool
}

// lifeConn is a connection with the life in which it was accepted.
type lifeConn struct {
	net.Conn
	life int
}

type lifeListener struct {
	net.Listener
	life int
}

func (l *lifeListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lifeConn{Conn: c, life: l.life}, nil
}

func (p *powered) listen() error {
	ln, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.addr, p.ln, p.dark = ln.Addr().String(), ln, false
	life := p.life
	p.mu.Unlock()
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, life) })}
	go func() { _ = server.Serve(&lifeListener{Listener: ln, life: life}) }()
	return nil
}

// over reports whether a life is over.
func (p *powered) over(life int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dark || p.life != life
}

func (p *powered) serve(w http.ResponseWriter, r *http.Request, life int) {
	if p.over(life) {
		p.reset(w, life)
		return
	}
	a := &answer{header: http.Header{}}
	p.e.ServeHTTP(a, r)
	if p.over(life) {
		<-r.Context().Done() // The caller gets nothing, and gives up by itself.
		return
	}
	if a.code == 0 {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.code)
	_, _ = w.Write([]byte(a.body.String()))
}

// reset answers what is sent on a connection of an earlier life, once the machine is up again.
func (p *powered) reset(w http.ResponseWriter, life int) {
	for {
		p.mu.Lock()
		dark := p.dark
		p.mu.Unlock()
		if !dark {
			break
		}
		time.Sleep(time.Millisecond)
	}
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	c, _, err := h.Hijack()
	if err != nil {
		return
	}
	if l, ok := c.(*lifeConn); ok {
		if t, ok := l.Conn.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
	}
	_ = c.Close()
}

// powerLoss takes the machine away for a while and starts the executor again under its id.
func (p *powered) powerLoss(d time.Duration) error {
	e := p.e
	p.mu.Lock()
	p.dark = true
	p.life++
	_ = p.ln.Close()
	p.mu.Unlock()
	e.mu.Lock()
	e.rec.line("%s loses power", e.id)
	e.judge.mu.Lock()
	for _, s := range e.runs {
		s.to, s.how = time.Now(), "crashed"
	}
	e.judge.mu.Unlock()
	e.runs, e.work, e.highest, e.ends = make(map[string]*span), make(map[string]time.Duration), make(map[string]int), nil
	e.fence, e.lease, e.seq = 0, 0, 0
	e.beat = time.Now().Add(d)
	e.mu.Unlock()
	time.Sleep(d)
	e.mu.Lock()
	e.born = time.Now()
	e.beat = time.Time{} // It registers at once.
	e.rec.line("%s starts again", e.id)
	e.mu.Unlock()
	return p.listen()
}

// acked: an executor loses power for a moment and starts again under its id.
func acked(rec *record, trouble bool) (int, error) {
	w, err := newWorld(rec, []string{"a", "b", "c"}, 3, func(*executor) {})
	if err != nil {
		return failed, err
	}
	defer w.close()
	e := &executor{id: "i-press", zone: "b", labels: []string{pressLabel}, judge: w.judge, rec: rec, store: w.store, born: time.Now(), runs: make(map[string]*span), work: make(map[string]time.Duration), highest: make(map[string]int), changed: make(chan struct{})}
	p := &powered{e: e, addr: loopback() + ":0"}
	if err := p.listen(); err != nil {
		return failed, err
	}
	e.addr = p.addr
	waiting := make(chan struct{}, 1)
	e.onHold = func() {
		select {
		case waiting <- struct{}{}:
		default:
		}
	}
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
	body, _ := json.Marshal(map[string]any{"spec": "ms=60", "steps": []any{map[string]any{"count": 4, "cpu": 200, "mem_mb": 100, "est_ms": 60, "requires": pressLabel}}})
	var jobs sync.WaitGroup
	var idle atomic.Bool
	end := make(chan struct{})
	jobs.Add(1)
	go func() {
		defer jobs.Done()
		tick := time.NewTicker(25 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-end:
				return
			case <-tick.C:
				if idle.Load() {
					continue
				}
				jobs.Add(1)
				go func() { defer jobs.Done(); w.submit(body) }()
			}
		}
	}()
	for range darkRounds {
		time.Sleep(8 * time.Second)
		if !trouble {
			continue
		}
		idle.Store(true) // Between two bursts of jobs, a call waits for an end.
		time.Sleep(1500 * time.Millisecond)
		select {
		case <-waiting:
		default:
		}
		select {
		case <-waiting:
		case <-time.After(3 * time.Second):
			return failed, fmt.Errorf("no call waits for an end")
		}
		if err := p.powerLoss(darkTime); err != nil {
			return failed, err
		}
		w.submit(press(60)) // One start comes first, and then many.
		time.Sleep(100 * time.Millisecond)
		idle.Store(false)
	}
	time.Sleep(5 * time.Second)
	close(end)
	jobs.Wait()
	time.Sleep(9 * time.Second)
	rec.line("%d jobs accepted, %d runs", len(w.accepted.ids), w.judge.count)
	out := w.judge.twice()
	for _, s := range out {
		rec.line("%s", s)
		fmt.Println(s)
	}
	if len(out) > 0 {
		return broken, nil
	}
	return held, nil
}
