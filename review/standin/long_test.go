package standin

import (
	"fmt"
	"os"
	"time"
)

func init() { cases["long"] = longCase }

// longCase: each executor has one small task of two hours. A job that is handed in afterwards has
// to start beside them. Without trouble the tasks take a minute.
func longCase() (int, string) {
	zones := []string{"za", "zb"}
	work := 2 * time.Hour
	if os.Getenv("TROUBLE") == "0" {
		work = time.Minute
	}
	k := kinds{
		"night": {work: work, cpu: 1000},
		"quick": {work: 500 * time.Millisecond, cpu: 1000},
	}
	r := newRig(k, machines(12, zones, func(i int) []string { return []string{"a", "r" + fmt.Sprint(1+i/6)} }), []string{"za", "za", "zb", "zb"},
		route{"batch", "/batch/", 2, 2}, route{"proof", "/proof/", 0, 4})
	const night = "00000000000000b2"
	time.Sleep(4 * time.Second)
	r.submit("/batch/"+night, key1, fmt.Sprintf(`{"spec":"night","steps":[{"count":12,"cpu":1000,"mem_mb":4096,"est_ms":%d,"max_per_server":1}]}`, work.Milliseconds()))
	r.await(10*time.Second, "the long tasks", func() bool { return r.running(night) == 12 })
	time.Sleep(10 * time.Second)
	var ids []string
	for i := range 5 {
		id := fmt.Sprintf("%016x", 0xc20+i)
		ids = append(ids, id)
		r.submit("/proof/"+id, key2, `{"spec":"quick","steps":[{"count":2,"cpu":1000,"mem_mb":512,"est_ms":500}]}`)
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(14 * time.Second)
	// finish_s after the end of the traffic, for 3 s more.
	idle := map[string]bool{}
	for _, id := range ids {
		if n, _ := r.count(id, "done"); n < 2 {
			idle[id] = true
		}
	}
	for end := time.Now().Add(3500 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for id := range idle {
			if r.running(id) > 0 {
				delete(idle, id)
			}
		}
	}
	state := r.state("/proof/"+ids[0], key2)
	if len(idle) > 0 {
		return broken, fmt.Sprintf("14 s after the end of the traffic %d of 5 jobs have had no start, and for 3.5 s nothing of them runs, on executors with 12 of 384 cores in use; the first is %q", len(idle), state)
	}
	return held, "all jobs ran"
}
