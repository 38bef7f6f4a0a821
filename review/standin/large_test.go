package standin

import (
	"fmt"
	"os"
	"time"
)

func init() { cases["large"] = largeCase }

// largeCase: one job with many small tasks is accepted; then one small job of another tenant.
func largeCase() (int, string) {
	zones := []string{"za", "zb", "zc"}
	k := kinds{
		"many":  {work: 100 * time.Second, cpu: 150},
		"small": {work: 500 * time.Millisecond, cpu: 1000},
	}
	count := 4000
	if os.Getenv("TROUBLE") == "0" {
		count = 1000
	}
	r := newRig(k, machines(48, zones, func(i int) []string { return []string{"a", "r" + fmt.Sprint(1+i/6)} }), []string{"za", "za", "zb", "zb", "zc", "zc"},
		route{"sets", "/sets/", 2, 2}, route{"proofs", "/proofs/", 0, 4})
	time.Sleep(4 * time.Second)
	const many = "00000000000000a7"
	r.submit("/sets/"+many, key1, fmt.Sprintf(`{"spec":"many","steps":[{"count":%d,"cpu":150,"mem_mb":64,"est_ms":100000}]}`, count))
	time.Sleep(8 * time.Second)
	r.note("%d tasks of the large job are running", r.running(many))
	const jobs = 60 // four a second
	for i := range jobs {
		r.submit(fmt.Sprintf("/proofs/%016x", 0xa00+i), key2, `{"spec":"small","steps":[{"count":2,"cpu":1000,"mem_mb":512,"est_ms":500},{"count":2,"cpu":1000,"mem_mb":512,"est_ms":500,"after":[0]}]}`)
		time.Sleep(250 * time.Millisecond)
	}
	r.note("%d tasks of the large job are running", r.running(many))
	ended, late := r.unnoted(ackTime)
	time.Sleep(14 * time.Second)
	done := 0
	for i := range jobs {
		if r.state(fmt.Sprintf("/proofs/%016x", 0xa00+i), key2) == "done" {
			done++
		}
	}
	r.note("refused by the store for their size: %v", r.store.refusedForSize())
	r.note("%d tasks of the large job are running", r.running(many))
	// For 3 s more, look for jobs that have nothing running and tasks that haven't ended.
	idle := map[string]bool{}
	for i := range jobs {
		id := fmt.Sprintf("%016x", 0xa00+i)
		if n, _ := r.count(id, "done"); n < 4 {
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
	why := fmt.Sprintf("%d of %d ends weren't taken note of within %v; 14 s after the end of the traffic %d of %d small jobs are shown as done, and %d had nothing running for 3.5 s though tasks of theirs hadn't run",
		late, ended, ackTime, done, jobs, len(idle))
	if late*5 > ended || len(idle) > 0 {
		return broken, why
	}
	return held, why
}

// ackTime is ack_ms.
const ackTime = 4 * time.Second
