package rig3

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["advice"] = caseAdvice }

const watchPrefix = "/watch55/"

// adviser stands in for the service that knows which executors may run a step. It handles one call
// at a time for each calling machine, so that each node has one of its own.
type adviser struct {
	mu      sync.Mutex
	waiting atomic.Int64
	calls   atomic.Int64
	allows  func(step, worker string) bool
	times   func(step string) (decide, each time.Duration)
}

const (
	mostWaiting = 32
	validFor    = 2 * time.Second
)

func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.Unmarshal(readBody(r), &q) != nil || len(q.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if a.waiting.Add(1) > mostWaiting {
		a.waiting.Add(-1)
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.mu.Lock()
	a.calls.Add(1)
	decide, each := a.times(q.Step)
	time.Sleep(decide + time.Duration(len(q.Workers))*each)
	a.mu.Unlock()
	a.waiting.Add(-1)
	allowed := [][]string{}
	for _, x := range q.Workers {
		if a.allows(q.Step, x) {
			allowed = append(allowed, []string{x, "ticket-" + q.Step + "-" + x})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"allowed": allowed, "valid_ms": validFor.Milliseconds()})
}

// advisedQueues returns a desired state with a quick queue of priority 0 and one of lasting jobs of
// priority 1, both with a hint.
func advisedQueues(version int) []byte {
	route := func(name, prefix string, priority int, decide, each float64) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"timeout_ms":3000,"slo_ms":250,"priority":%d,"service":%q,"attempts":4,"stretch":1.5,"hint":{"decide_ms":%g,"each_ms":%g,"valid_ms":2000}}`,
			name, hostName, prefix, priority, service, decide, each)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s],"services":[{"name":%q,"health_path":"/healthz","rejects_overload":false}],
"tenants":[{"name":"a","api_keys":[%q],"weight":100,"cap":{"cpu":0,"mem_mb":0,"gpu":0}}],"limits":{}}`,
		version, route("quick", prefix, 0, 21, 0.29), route("watch", watchPrefix, 1, 450, 6.5), service, key)
}

// caseAdvice: the executor of a task that lasts leaves while a tenant sends many times its usual.
// Two idle executors may run the task.
func caseAdvice(rec *record, trouble bool) error {
	c, err := newCell(rec, 3)
	if err != nil {
		return err
	}
	defer c.stop()
	c.store.put("op", "config", advisedQueues(3))
	lasting := "5c0e7a21d94b36f8"
	for _, n := range c.nodes {
		a := &adviser{
			allows: func(step, worker string) bool { return strings.HasPrefix(step, lasting) == (worker >= "i-0006") },
			times: func(step string) (time.Duration, time.Duration) {
				if strings.HasPrefix(step, lasting) {
					return 450 * time.Millisecond, 6500 * time.Microsecond
				}
				return 21 * time.Millisecond, 290 * time.Microsecond
			},
		}
		srv, err := serve("127.0.0.1:0", a)
		if err != nil {
			return err
		}
		if err := n.advise(srv.addr); err != nil {
			return err
		}
	}
	var es []*executor
	for i := range 9 {
		e := c.world.newExecutor(c.store, fmt.Sprintf("i-%04d", i), fmt.Sprintf("z%d", i%3), fmt.Sprintf("r-%d", i%2), "a", "127.0.0.1", amount{CPU: 32000, Mem: 131072})
		es = append(es, e)
	}
	for _, e := range es[:7] { // i-0006 alone may run the lasting task at first.
		if err := e.start(); err != nil {
			return err
		}
	}
	if err := c.startAll(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	j := &job{ID: lasting, Spec: "lasting", tenant: "a", Steps: []step{{Count: 1, CPU: 8000, Mem: 256, Daemon: true}}}
	c.world.add(j)
	if status, _ := c.call(c.nodes[0], http.MethodPost, watchPrefix+j.ID, j.body()); status != http.StatusOK {
		return fmt.Errorf("the lasting job isn't accepted: %d", status)
	}
	if err := c.await(8*time.Second, "the lasting task", func() bool { return len(c.world.running(j.ID)) > 0 }); err != nil {
		return err
	}
	for _, e := range es[7:] {
		if err := e.start(); err != nil {
			return err
		}
	}
	rate, began := 8.0, time.Now()
	if trouble {
		rate *= 7.5
	}
	var wg sync.WaitGroup
	stop := make(chan struct{})
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Until(began.Add(time.Duration(float64(i) / rate * float64(time.Second))))):
			}
			q := &job{ID: fmt.Sprintf("aaaa0000%08x", i), Spec: fmt.Sprintf("text %d", i), tenant: "a", Steps: []step{{Count: 6, CPU: 2500, Mem: 256, Est: 640, work: 640 * time.Millisecond}}}
			wg.Add(1)
			go func() {
				defer wg.Done()
				c.submit(q)
			}()
		}
	}()
	time.Sleep(10 * time.Second)
	gone := es[6]
	c.world.mu.Lock()
	gone.draining = true
	gone.report()
	c.world.mu.Unlock()
	rec.note("%s drains", gone.id)
	time.Sleep(2500 * time.Millisecond)
	gone.leave()
	left := time.Now()
	back := time.Duration(0)
	for time.Since(left) < 16*time.Second {
		if len(c.world.running(j.ID)) > 0 {
			back = time.Since(left)
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	rec.note("the lasting task ran again after %v (0: not within 16 s)", back)
	fmt.Println("again after", back)
	if back == 0 || back > 9*time.Second {
		rec.broken("LOST", "the lasting task of %s didn't run for 9 s after its last run, though two idle executors may run it", j.ID)
	}
	return nil
}
