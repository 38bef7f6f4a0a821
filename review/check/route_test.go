package check

import (
	"net/http"
	"syscall"
	"time"
)

func init() { cases["route"] = routeCase }

const visible = 3 * time.Second // visible_ms

// routeCase: one version drops a route and adds one with the same host and prefix under
// another name, while a job of it is at work. A client goes on asking for the job. Then the
// owner's host is stopped and started.
func routeCase(p *platform, trouble bool) (bool, error) {
	r := newRoute("r-nony", "/lohu930/")
	if err := p.start(4, 8, r); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	id := newID()
	if !p.submit(r.Name, r.Prefix, id, `{"spec":"ms=20000,500 x","steps":[{"count":4,"cpu":500,"mem_mb":256,"est_ms":20000},{"count":4,"cpu":500,"mem_mb":256,"est_ms":500,"after":[0]}]}`) {
		return false, nil
	}
	p.rec.add("POST %s, a job of two steps: accepted", id)
	time.Sleep(visible + time.Second)
	p.rec.add("GET %s: %v", id, p.call(p.hosts[0], http.MethodGet, r.Prefix+id, ""))
	if trouble {
		r.Name = "r-renamed"
		p.config.change("the route is dropped, one of the same host and prefix is added", r)
	}
	time.Sleep(visible + 2*time.Second)
	gone := 0
	for range 3 {
		for _, h := range p.hosts {
			got := p.call(h, http.MethodGet, r.Prefix+id, "")
			running, done := p.judge.count(id)
			p.rec.add("GET %s at %s: %v; of its tasks %d are at work, %d of 8 done", id, h.name, got, running, done)
			if got.status == http.StatusGone {
				gone++
			}
		}
		time.Sleep(time.Second)
	}
	if h := p.owner(); h != nil {
		p.rec.add("SIGTERM to %s, which owns the cell", h.name)
		h.kill(syscall.SIGTERM)
	}
	idle := time.Duration(0)
	for range 30 {
		time.Sleep(time.Second)
		running, done := p.judge.count(id)
		if idle += time.Second; running > 0 || done == 8 {
			idle = 0
		}
		p.rec.add("job: %d tasks at work, %d of 8 done; nothing runs for %v", running, done, idle)
	}
	p.rec.add("%d answers 410 for the accepted job; at the end nothing of it ran for %v, though its second step's turn had come", gone, idle)
	return gone > 0 || idle >= 14*time.Second, nil
}
