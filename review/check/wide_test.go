package check

import (
	"fmt"
	"net/http"
	"time"
)

// A job with a wide step runs beside small ones.

func init() { cases["wide"] = wideCase }

const (
	wideTasks   = 8000
	narrowTasks = 64 // the widest step of the sheets' jobs
	ackTime     = 4 * time.Second
	finishTime  = 14 * time.Second
	idleTime    = 3 * time.Second
)

func wideCase(p *platform, trouble bool) (bool, error) {
	r := newRoute("r-nony", "/lohu930/")
	if err := p.start(4, 12, r); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	end, ids := make(chan struct{}), make(chan string, 1000)
	go func() {
		for tick := time.NewTicker(250 * time.Millisecond); ; {
			select {
			case <-end:
				close(ids)
				return
			case <-tick.C:
				if id := newID(); p.submit(r.Name, r.Prefix, id, smallJob) {
					ids <- id
				}
			}
		}
	}()
	time.Sleep(4 * time.Second)
	n := narrowTasks
	if trouble {
		n = wideTasks
	}
	wide := newID()
	ok := p.submit(r.Name, r.Prefix, wide, fmt.Sprintf(`{"spec":"ms=75000 x","steps":[{"count":%d,"cpu":15,"mem_mb":8,"est_ms":75000}]}`, n))
	p.rec.add("POST %s, a job of %d tasks: accepted %v", wide, n, ok)
	for range 15 {
		time.Sleep(2 * time.Second)
		running, done := p.judge.count(wide)
		listed, late := p.judge.lateEnds()
		p.rec.add("wide job: %d running, %d done; all: %d ends listed over 4 s ago, %d of them not taken note of within 4 s; owner by the store: %s", running, done, listed, late, nameOf(p.owner()))
	}
	close(end)
	time.Sleep(finishTime)
	var small []string
	for id := range ids {
		small = append(small, id)
	}
	stuck := map[string]int{} // seconds without a running task, though it isn't done
	for range int(idleTime/time.Second) + 1 {
		for _, id := range small {
			if running, done := p.judge.count(id); running == 0 && done < smallTasks {
				stuck[id]++
			}
		}
		time.Sleep(time.Second)
	}
	states := map[string]int{}
	for _, id := range small {
		states[p.call(p.hosts[0], http.MethodGet, r.Prefix+id, "").body]++
	}
	idle := 0
	for id, n := range stuck {
		if n > int(idleTime/time.Second) {
			if idle++; idle <= 5 {
				running, done := p.judge.count(id)
				p.rec.add("accepted job %s: nothing runs for %d s, %d of %d tasks done, %d at work; GET: %v", id, n, done, smallTasks, running, p.call(p.hosts[0], http.MethodGet, r.Prefix+id, ""))
			}
		}
	}
	listed, late := p.judge.lateEnds()
	p.rec.add("%d small jobs accepted; 14 s after the last was handed in %d have had nothing running for 3 s; states: %v; the wide job: %v", len(small), idle, states, p.call(p.hosts[1], http.MethodGet, r.Prefix+wide, ""))
	p.rec.add("%d ends listed over 4 s ago, %d of them not taken note of within 4 s", listed, late)
	return idle > 0 || late > listed/5, nil
}

const (
	smallTasks = 8
	smallJob   = `{"spec":"ms=300,300 x","steps":[{"count":4,"cpu":100,"mem_mb":16,"est_ms":300},{"count":4,"cpu":100,"mem_mb":16,"est_ms":300,"after":[0]}]}`
)

func nameOf(h *host) string {
	if h == nil {
		return "none"
	}
	return h.name
}
