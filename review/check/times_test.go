package check

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["times"] = timesCase }

const (
	manyTimes = 86400 // each second of a day
	fewTimes  = 100
)

// timesCase: a job that recurs is handed in when all its times are over, beside small jobs.
func timesCase(p *platform, trouble bool) (bool, error) {
	r := newRoute("r-nony", "/lohu930/")
	if err := p.start(4, 12, r); err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	var small []string
	submitSmall := func(n int) {
		for range n {
			if id := newID(); p.submit(r.Name, r.Prefix, id, smallJob) {
				small = append(small, id)
			}
			time.Sleep(500 * time.Millisecond)
		}
	}
	submitSmall(6)
	before := len(small)
	n := fewTimes
	if trouble {
		n = manyTimes
	}
	id := newID()
	start := time.Now().Add(-time.Duration(n) * time.Second).UnixMilli()
	ok := p.submit(r.Name, r.Prefix, id, fmt.Sprintf(`{"spec":"ms=100 x","times":%d,"interval_ms":1000,"start_at_ms":%d,"steps":[{"count":1,"cpu":15,"mem_mb":8,"est_ms":100}]}`, n, start))
	p.rec.add("POST %s, a job of %d times, one each second: accepted %v", id, n, ok)
	submitSmall(20)
	p.rec.add("%d small jobs accepted before it, %d after it", before, len(small)-before)
	time.Sleep(finishTime)
	lost, unanswered, idle := 0, 0, 0
	for i, s := range small[before:] {
		running, done := p.judge.count(s)
		got := p.call(p.hosts[i%len(p.hosts)], http.MethodGet, r.Prefix+s, "")
		p.rec.add("GET %s, 14 s after the last job: %v; %d of its tasks at work, %d of %d done", s, got, running, done, smallTasks)
		if got.status == 0 {
			unanswered++
		}
		if running == 0 && done < smallTasks {
			idle++
		}
		if got.status == 0 && running == 0 && done < smallTasks {
			lost++
		}
	}
	running, done := p.judge.count(id)
	p.rec.add("recurring job: %d running, %d of %d done", running, done, n)
	p.rec.add("of %d small jobs, %d get no answer within 3 s, %d have nothing running and aren't done, %d both", len(small)-before, unanswered, idle, lost)
	return unanswered > 0 || idle > 0, nil
}
