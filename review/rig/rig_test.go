// Package rig is a small platform for the scripts of the second review: a store, executors, an
// operator and clients, with node processes as deploy/system.toml starts them. It uses only the
// standard library and only loopback addresses.
package rig

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	heartbeat = 1500 * time.Millisecond
	entryTTL  = 3 * heartbeat // after three intervals of silence an entry is removed
	maxHold   = 6 * time.Second
	stopTime  = 200 * time.Millisecond
	hostName  = "posters.example"
	prefix    = "/proofs/"
	apiKey    = "key-of-a-tenant"
)

var began = time.Now()

func since() float64 { return time.Since(began).Seconds() }

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu sync.Mutex
	f  *os.File
}

func (r *record) line(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f "+format+"\n", append([]any{since()}, a...)...)
}

// ---- the store

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   string `json:"value,omitempty"` // base64
	Ver     int64  `json:"ver,omitempty"`
	Deleted bool   `json:"deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	log     []row
	ver     int64
	changed chan struct{}
	leader  string // node that last wrote under a condition on an existing row
	delay   time.Duration
}

func newStore() *store {
	return &store{rows: make(map[rowKey]row), changed: make(chan struct{}), delay: 4 * time.Millisecond}
}

func (s *store) apply(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.log = append(s.log, r)
}

func (s *store) wake() { close(s.changed); s.changed = make(chan struct{}) }

// set writes a row as the operator or an executor does; nil deletes it.
func (s *store) set(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := rowKey{table, "", key}
	if _, ok := s.rows[k]; value == nil && !ok {
		return
	}
	s.ver++
	s.apply(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(value), Ver: s.ver, Deleted: value == nil})
	s.wake()
}

func (s *store) leaderNow() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

func reply(w http.ResponseWriter, code int, v any) {
	data, _ := json.Marshal(v)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_, _ = w.Write(data)
}

// door is one node's way to the store.
type door struct {
	store *store
	node  string
}

func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s := d.store
	body, _ := io.ReadAll(r.Body)
	time.Sleep(s.delay)
	q := r.URL.Query()
	now := func() int64 { return time.Since(began).Milliseconds() + 1000 }
	switch r.URL.Path {
	case "/api/rows-tx":
		var tx struct {
			Expect, Put, Delete []row
		}
		if json.Unmarshal(body, &tx) != nil || len(tx.Expect)+len(tx.Put)+len(tx.Delete) > 100 {
			reply(w, 400, map[string]any{})
			return
		}
		time.Sleep(s.delay)
		s.mu.Lock()
		ok, have, under := true, []row{}, false
		for _, e := range tx.Expect {
			h := s.rows[rowKey{e.Table, e.Part, e.Key}]
			ok = ok && h.Ver == e.Ver
			under = under || e.Ver > 0
			if h.Ver > 0 {
				have = append(have, h)
			}
		}
		if !ok {
			ver := s.ver
			s.mu.Unlock()
			reply(w, 412, map[string]any{"rows": have, "ver": ver, "now_ms": now()})
			return
		}
		if under {
			s.leader = d.node
		}
		s.ver++
		ver := s.ver
		for _, p := range tx.Put {
			p.Ver, p.Deleted = ver, false
			s.apply(p)
		}
		for _, x := range tx.Delete {
			x.Ver, x.Deleted, x.Value = ver, true, ""
			if _, there := s.rows[rowKey{x.Table, x.Part, x.Key}]; there {
				s.apply(x)
			}
		}
		s.wake()
		s.mu.Unlock()
		reply(w, 200, map[string]any{"ver": ver, "now_ms": now()})
	case "/api/rows-get":
		limit := 500
		if n, err := strconv.Atoi(q.Get("limit")); err == nil {
			limit = min(limit, n)
		}
		s.mu.Lock()
		rows := []row{}
		for k, v := range s.rows {
			if k.table == q.Get("table") && k.part == q.Get("part") && k.key >= q.Get("from") && (q.Get("to") == "" || k.key < q.Get("to")) {
				rows = append(rows, v)
			}
		}
		ver := s.ver
		s.mu.Unlock()
		sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
		more := len(rows) > limit
		reply(w, 200, map[string]any{"rows": rows[:min(limit, len(rows))], "has_more": more, "ver": ver, "now_ms": now()})
	case "/api/rows-feed":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("wait_ms"))
		until := time.After(time.Duration(wait) * time.Millisecond)
		for {
			s.mu.Lock()
			rows := []row{}
			for i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Ver > after }); i < len(s.log); i++ {
				if s.log[i].Table == q.Get("table") {
					rows = append(rows, s.log[i])
				}
			}
			ver, changed := s.ver, s.changed
			s.mu.Unlock()
			if len(rows) > 0 {
				reply(w, 200, map[string]any{"rows": rows, "ver": ver, "now_ms": now()})
				return
			}
			select {
			case <-changed:
			case <-until:
				reply(w, 200, map[string]any{"rows": rows, "ver": ver, "now_ms": now()})
				return
			case <-r.Context().Done():
				return
			}
		}
	default:
		reply(w, 404, map[string]any{})
	}
}

// ---- executors

// span is one run of a task, as its executor saw it.
type span struct {
	task, executor, how string
	run                 int
	fence               int64
	from, to            time.Time // to is zero while it runs
	acked               bool      // ack_cursor has reached its end
}

// judge has all runs of the day.
type judge struct {
	mu    sync.Mutex
	spans map[string][]*span
	count int
}

type executor struct {
	id, zone, addr string
	labels         []string
	judge          *judge
	rec            *record
	store          *store
	onStart        func(e *executor) // called when a run has begun
	onHold         func()            // called when a call begins that waits for an end

	mu      sync.Mutex
	born    time.Time
	fence   int64
	lease   time.Duration
	runs    map[string]*span
	work    map[string]time.Duration
	highest map[string]int
	ends    []endRow
	seq     int64
	changed chan struct{}
	cut     bool // it doesn't reach the store
	garble  bool // another writer overwrites its entry right after each heartbeat
	beat    time.Time
	listed  bool
	beats   int
}

type endRow struct {
	seq  int64
	span *span
}

func (e *executor) clock() time.Duration { return time.Since(e.born) }

func (e *executor) entry() []byte {
	data, _ := json.Marshal(map[string]any{
		"service": "poster", "addr": e.addr, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": 8000, "mem_mb": 32768, "gpu": 0}, "labels": append([]string{"a", "rack-" + e.zone}, e.labels...), "born": e.born.UnixMilli(), "seq": e.beats,
	})
	return data
}

// beatLoop writes the entry each heartbeat, and removes it as the platform does after three
// intervals of silence.
func (e *executor) beatLoop(stop chan struct{}, onRemoved func(e *executor)) {
	e.mu.Lock()
	e.beat = time.Now().Add(-time.Duration(rand.Int64N(int64(heartbeat))))
	e.mu.Unlock()
	for {
		e.mu.Lock()
		e.settle()
		now := time.Now()
		write, remove := false, false
		switch {
		case !e.cut && now.Sub(e.beat) >= heartbeat:
			e.beat, e.listed, write = now, true, true
			e.beats++
		case e.cut && e.listed && now.Sub(e.beat) >= entryTTL:
			e.listed, remove = false, true
		}
		data, garble := e.entry(), e.garble
		e.mu.Unlock()
		if write {
			e.store.set("servers", e.id, data)
			if garble {
				e.store.set("servers", e.id, []byte("{\"service\":7"))
			}
		}
		if remove {
			e.store.set("servers", e.id, nil)
			e.rec.line("the entry of %s is removed", e.id)
			onRemoved(e)
		}
		select {
		case <-stop:
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (e *executor) setCut(cut bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cut = cut
	e.rec.line("%s reaches the store: %v", e.id, !cut)
}

// settle ends what is due. The caller holds mu.
func (e *executor) settle() {
	for task, s := range e.runs {
		switch {
		case e.lease <= e.clock():
			e.end(task, s, "lapsed")
		case time.Since(s.from) >= e.work[task]:
			e.end(task, s, "done")
		}
	}
}

func (e *executor) end(task string, s *span, how string) {
	delete(e.runs, task)
	e.highest[task] = max(e.highest[task], s.run)
	e.judge.mu.Lock()
	s.to, s.how = time.Now(), how
	e.judge.mu.Unlock()
	e.seq++
	e.ends = append(e.ends, endRow{e.seq, s})
	e.rec.line("%s: run %d of %s ends: %s", e.id, s.run, task, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Task     string
		Run      int
		Spec     string
		Deadline int64 `json:"deadline_ms"`
		Fence    int64
		Ack      int64 `json:"ack_cursor"`
		Wait     int64 `json:"wait_ms"`
	}
	body, _ := io.ReadAll(r.Body)
	if json.Unmarshal(body, &o) != nil {
		reply(w, 400, map[string]any{})
		return
	}
	e.mu.Lock()
	if want := r.Header.Get("X-Balsamford-Expect-Instance"); want != "" && want != e.id {
		e.mu.Unlock()
		reply(w, 421, map[string]any{})
		return
	}
	e.settle()
	refuse := func(reason string) {
		clock := e.clock().Milliseconds()
		e.mu.Unlock()
		e.rec.line("%s: %s of run %d of %s, fence %d: refused, %s", e.id, r.URL.Path, o.Run, o.Task, o.Fence, reason)
		reply(w, 409, map[string]any{"clock_ms": clock, "born": e.born.UnixMilli(), "reason": reason})
	}
	if o.Fence < e.fence {
		refuse("fence")
		return
	}
	e.fence = o.Fence
	e.lease = max(e.lease, min(e.clock()+maxHold, time.Duration(o.Deadline)*time.Millisecond))
	started := false
	switch r.URL.Path {
	case "/api/run-start":
		if s := e.runs[o.Task]; s != nil && s.run == o.Run {
			break
		}
		if e.highest[o.Task] >= o.Run {
			refuse("old")
			return
		}
		if time.Duration(o.Deadline)*time.Millisecond <= e.clock() {
			refuse("late")
			return
		}
		s := &span{task: o.Task, executor: e.id, run: o.Run, fence: o.Fence, from: time.Now()}
		e.runs[o.Task], e.work[o.Task], started = s, workOf(o.Spec), true
		e.judge.mu.Lock()
		e.judge.spans[o.Task] = append(e.judge.spans[o.Task], s)
		e.judge.count++
		e.judge.mu.Unlock()
		e.rec.line("%s: run %d of %s begins, fence %d", e.id, o.Run, o.Task, o.Fence)
	case "/api/run-stop":
		e.highest[o.Task] = max(e.highest[o.Task], o.Run)
		if s := e.runs[o.Task]; s != nil && s.run <= o.Run {
			e.end(o.Task, s, "stopped")
		}
	case "/api/hold":
		for len(e.ends) > 0 && e.ends[0].seq <= o.Ack {
			e.judge.mu.Lock()
			e.ends[0].span.acked = true
			e.judge.mu.Unlock()
			e.ends = e.ends[1:]
		}
		if o.Wait >= 500 && e.onHold != nil {
			e.onHold()
		}
		until := time.Now().Add(time.Duration(o.Wait) * time.Millisecond)
		for len(e.ends) == 0 && time.Now().Before(until) {
			changed := e.changed
			e.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(min(10*time.Millisecond, time.Until(until))):
			case <-r.Context().Done():
				return
			}
			e.mu.Lock()
			e.settle()
			if o.Fence < e.fence {
				refuse("fence")
				return
			}
		}
		running, ended := [][]any{}, [][]any{}
		for task, s := range e.runs {
			running = append(running, []any{task, s.run, "", min(99, int(100*time.Since(s.from)/max(1, e.work[task]))), 0})
		}
		for _, x := range e.ends[:min(500, len(e.ends))] {
			ended = append(ended, []any{x.seq, x.span.task, x.span.run, x.span.how, ""})
		}
		clock := e.clock().Milliseconds()
		e.mu.Unlock()
		reply(w, 200, map[string]any{"clock_ms": clock, "born": e.born.UnixMilli(), "running": running, "ended": ended})
		return
	}
	clock := e.clock().Milliseconds()
	e.mu.Unlock()
	if started && e.onStart != nil {
		e.onStart(e)
	}
	reply(w, 200, map[string]any{"clock_ms": clock, "born": e.born.UnixMilli()})
}

// workOf is how long a task works, by its spec "ms=N".
func workOf(spec string) time.Duration {
	n, err := strconv.Atoi(strings.TrimPrefix(spec, "ms="))
	if err != nil {
		n = 300
	}
	return time.Duration(n) * time.Millisecond
}

// twice returns what breaks the rule TWICE.
func (j *judge) twice() []string {
	j.mu.Lock()
	defer j.mu.Unlock()
	var out []string
	for task, spans := range j.spans {
		for a, s := range spans {
			for _, t := range spans[a+1:] {
				first, second := s, t
				if second.from.Before(first.from) {
					first, second = second, first
				}
				over := first.to.IsZero() || second.from.Before(first.to)
				again := first.how == "done" && first.acked && !second.from.Before(first.to)
				if !over && !again {
					continue
				}
				kind := "two runs at the same time"
				if again {
					kind = "a start after a run has ended done, and that end is taken note of"
				}
				at := func(x time.Time) string {
					if x.IsZero() {
						return "the end"
					}
					return fmt.Sprintf("%.3f s", x.Sub(began).Seconds())
				}
				out = append(out, fmt.Sprintf("TWICE: task %s: %s: run %d on %s from %s to %s (%s, fence %d), run %d on %s from %s to %s (%s, fence %d)", task, kind,
					first.run, first.executor, at(first.from), at(first.to), first.how, first.fence, second.run, second.executor, at(second.from), at(second.to), second.how, second.fence))
			}
		}
	}
	sort.Strings(out)
	return out
}

// ---- nodes

type node struct {
	name, zone, front, ready, path string
	log                            *os.File
	mu                             sync.Mutex
	cmd                            *exec.Cmd
	gone                           bool
}

// kill ends the process at once.
func (n *node) kill() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil && !n.gone {
		n.gone = true
		_ = n.cmd.Process.Signal(syscall.SIGKILL)
	}
}

type world struct {
	dir       string
	rec       *record
	store     *store
	judge     *judge
	executors []*executor
	nodes     []*node
	stop      chan struct{}
	client    http.Client
	accepted  struct {
		sync.Mutex
		ids []string
	}
}

func loopback() string {
	return fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250))
}

func listen() (net.Listener, error) { return net.Listen("tcp", loopback()+":0") }

func freeAddr() (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

func serve(h http.Handler) (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	go func() { _ = (&http.Server{Handler: h}).Serve(l) }()
	return l.Addr().String(), nil
}

func desired(version int) []byte {
	data, _ := json.Marshal(map[string]any{
		"version":  version,
		"routes":   []any{map[string]any{"name": "proofs", "host": hostName, "prefix": prefix, "kind": "mutating", "timeout_ms": 3000, "slo_ms": 250, "priority": 0, "service": "poster", "attempts": 4, "stretch": 1.5, "public": false}},
		"services": []any{map[string]any{"name": "poster", "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "rejects_overload": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": "towns", "api_keys": []string{apiKey}, "priority": 1, "weight": 1000, "cap": map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0}}},
	})
	return data
}

const settings = `node = %q
role = "node"
class = "edge"
serves = ["edge"]
ip = %q
zone = %q
region = "r"
port_range = [%s,%s]
seeds = []
bootstrap = true
discovery = "platform"
entry = "vip"
heartbeat_ms = 1500
orders = "rpc"
hint = ""
[listen]
front = %q
ready = %q
[limits]
cpu_share = 0.4
cores = 1
mem_limit_mb = 284
max_fds = 4100
[bounds]
stability_ms = 3000
drain_ms = 2000
grace_s = 6
quota_window_s = 5
quota_slack = 20
hold_max_ms = 6000
stop_ms = 200
gang_wait_ms = 3000
cancel_ms = 3000
status_s = 120
far_x = 3
checkpoint_interval_s = 2
restore_ms = 100
lease_ms = 3000
pace_ms = 100
harm_ms = 4000
[platform]
addr = %q
form = "table"
writes_per_s = 800
reads_per_s = 2000
tx_ms = 8.0
part_writes_s = 150
row_bytes = 65536
across = false
history_s = 20
`

func newWorld(rec *record, zones []string, perZone int, onRemoved func(*executor)) (*world, error) {
	dir, err := os.MkdirTemp("", "review-rig")
	if err != nil {
		return nil, err
	}
	w := &world{dir: dir, rec: rec, store: newStore(), judge: &judge{spans: make(map[string][]*span)}, stop: make(chan struct{}), client: http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	w.store.set("op", "config", desired(3))
	for _, z := range zones {
		for i := range perZone {
			e := &executor{id: fmt.Sprintf("i-%s-%d", z, i), zone: z, judge: w.judge, rec: rec, store: w.store, born: time.Now(), runs: make(map[string]*span), work: make(map[string]time.Duration), highest: make(map[string]int), changed: make(chan struct{})}
			if e.addr, err = serve(e); err != nil {
				return nil, err
			}
			w.executors = append(w.executors, e)
			go e.beatLoop(w.stop, onRemoved)
		}
	}
	for _, z := range zones {
		n := &node{name: "edge-" + z, zone: z}
		addrs := make([]string, 3)
		for i := range addrs {
			if addrs[i], err = freeAddr(); err != nil {
				return nil, err
			}
		}
		door, err := serve(&door{store: w.store, node: n.name})
		if err != nil {
			return nil, err
		}
		n.front, n.ready = addrs[0], addrs[1]
		ip, port, _ := net.SplitHostPort(addrs[2])
		n.path = filepath.Join(dir, n.name+".toml")
		if err := os.WriteFile(n.path, fmt.Appendf(nil, settings, n.name, ip, z, port, port, n.front, n.ready, door), 0o600); err != nil {
			return nil, err
		}
		if n.log, err = os.Create(filepath.Join(dir, n.name+".log")); err != nil {
			return nil, err
		}
		w.nodes = append(w.nodes, n)
	}
	return w, nil
}

// start starts the process of a node with the command of the deploy file.
func (w *world) start(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	cmd := exec.Command("target/node")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "BALSAMFORD_BOOT=" + n.path}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	if err := cmd.Start(); err != nil {
		return err
	}
	n.cmd, n.gone = cmd, false
	w.rec.line("%s is started", n.name)
	go func() { _ = cmd.Wait() }()
	return nil
}

func (w *world) close() {
	close(w.stop)
	for _, n := range w.nodes {
		n.kill()
	}
	time.Sleep(100 * time.Millisecond)
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, n := range w.nodes {
			if data, err := os.ReadFile(n.log.Name()); err == nil {
				_ = os.WriteFile(filepath.Join(keep, n.name+".log"), data, 0o600)
			}
		}
	}
	_ = os.RemoveAll(w.dir)
}

func (w *world) await(what string, within time.Duration, ok func() bool) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return fmt.Errorf("timed out waiting for %s", what)
}

func (w *world) ready(n *node) bool {
	resp, err := w.client.Get("http://" + n.ready + "/api/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// call sends a request of a client to a node and returns the status, 0 for no answer.
func (w *world) call(n *node, method, id string, body []byte) (int, string) {
	req, err := http.NewRequest(method, "http://"+n.front+prefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = hostName
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("X-Balsamford-Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := w.client.Do(req)
	if err != nil {
		w.rec.line("%s %s at %s: no answer", method, id, n.name)
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	w.rec.line("%s %s at %s: %d %s", method, id, n.name, resp.StatusCode, data)
	return resp.StatusCode, string(data)
}

// submit hands a job in, at any node that is up, until it is accepted.
func (w *world) submit(body []byte) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	for range 5 {
		n := w.nodes[rand.IntN(len(w.nodes))]
		if code, _ := w.call(n, "POST", id, body); code/100 == 2 {
			w.accepted.Lock()
			w.accepted.ids = append(w.accepted.ids, id)
			w.accepted.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func job(ms int, count, cpu int) []byte {
	data, _ := json.Marshal(map[string]any{"spec": "ms=" + strconv.Itoa(ms), "steps": []any{map[string]any{"count": count, "cpu": cpu, "mem_mb": 200, "est_ms": ms}}})
	return data
}
