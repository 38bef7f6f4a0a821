package standin

import (
	"fmt"
	"time"
)

func init() { cases["pace"] = paceCase }

// machines returns n executors, spread over the zones, of 32 cores and 128 GB each.
func machines(n int, zones []string, labels func(i int) []string) []execConfig {
	var out []execConfig
	for i := range n {
		out = append(out, execConfig{id: fmt.Sprintf("i-%08x", 0x5f3a91c2+i*7919), zone: zones[i%len(zones)], labels: labels(i), cpu: 32000, mem: 131072})
	}
	return out
}

// paceCase: tasks that fill are paused beside tasks that serve, then the leading process gets
// SIGTERM and starts again. A job that is handed in afterwards has to start.
func paceCase() (int, string) {
	zones := []string{"za", "zb"}
	k := kinds{
		"serve": {lasts: true, serving: true, cpu: 8000},
		"fill":  {work: 20 * time.Second, fills: true, cpu: 8000},
		"quick": {work: 500 * time.Millisecond, cpu: 1000},
	}
	r := newRig(k, machines(6, zones, func(i int) []string { return []string{"a", "r" + fmt.Sprint(1+i%2)} }), []string{"za", "za", "zb", "zb"},
		route{"watch", "/watch/", 1, 2}, route{"batch", "/batch/", 2, 2}, route{"proof", "/proof/", 0, 4})
	const serving, filling, quick = "00000000000000a1", "00000000000000b1", "00000000000000c1"
	time.Sleep(4 * time.Second)
	r.submit("/watch/"+serving, key1, `{"spec":"serve","steps":[{"count":6,"cpu":8000,"mem_mb":4096,"est_ms":1000,"max_per_server":1,"daemon":true,"image":"front","target_ms":100}]}`)
	r.await(10*time.Second, "the serving tasks", func() bool { return r.running(serving) == 6 })
	r.submit("/batch/"+filling, key1, `{"spec":"fill","steps":[{"count":6,"cpu":8000,"mem_mb":4096,"est_ms":20000,"max_per_server":1,"fills":true,"image":"render"}]}`)
	r.await(10*time.Second, "the filling tasks", func() bool { return r.running(filling) == 6 })
	r.await(15*time.Second, "all filling tasks to be paused", func() bool { return r.paused() == 6 })
	time.Sleep(3 * time.Second)
	if r.trouble {
		n := r.leader()
		r.stopNode(n)
		time.Sleep(time.Second)
		r.startNode(n)
	}
	time.Sleep(8 * time.Second)
	r.submit("/proof/"+quick, key2, `{"spec":"quick","steps":[{"count":2,"cpu":1000,"mem_mb":512,"est_ms":500}]}`)
	began := time.Now()
	if r.until(14*time.Second, func() bool { done, _ := r.count(quick, "done"); return done == 2 }) {
		return held, "the job ran"
	}
	time.Sleep(4 * time.Second)
	state := r.state("/proof/"+quick, key2)
	if n := len(r.startsOf(quick)); n == 0 && time.Since(began) > 17*time.Second {
		return broken, fmt.Sprintf("18 s after it was accepted the job has had no start, on executors with a quarter of their cores in use; its state is %q", state)
	}
	return held, "the job started"
}

// paused returns how many runs are at a pace of 0.
func (r *rig) paused() int {
	n := 0
	for _, e := range r.executors {
		e.mu.Lock()
		for _, run := range e.runs {
			if run.pct == 0 {
				n++
			}
		}
		e.mu.Unlock()
	}
	return n
}
