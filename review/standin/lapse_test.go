package standin

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["lapse"] = lapseCase }

// lapseCase: the store is down for 4.5 s, and the entries of executors expire meanwhile. The
// leading machine loses power half a second before the store is back.
func lapseCase() (int, string) {
	zones := []string{"za", "zb"}
	k := kinds{"set": {work: 12 * time.Second, first: 2500 * time.Millisecond, cpu: 4000}}
	r := newRig(k, machines(48, zones, func(i int) []string { return []string{"a", "r" + fmt.Sprint(1+i/6)} }), []string{"za", "za", "zb", "zb"},
		route{"sets", "/sets/", 1, 2})
	time.Sleep(4 * time.Second)
	// The first step of each job ends while the store is down; its second step starts then.
	for i := range 8 {
		r.submit(fmt.Sprintf("/sets/%016x", 0xb00+i), key1, `{"spec":"set","steps":[{"count":1,"cpu":20000,"mem_mb":512,"est_ms":2600},{"count":24,"cpu":2000,"mem_mb":512,"est_ms":12000,"max_per_server":1,"after":[0]}]}`)
	}
	time.Sleep(300 * time.Millisecond)
	if r.trouble {
		r.store.setDown(true)
		r.note("store: down")
		time.Sleep(4 * time.Second)
		n := r.leader()
		r.killNode(n)
		time.Sleep(500 * time.Millisecond)
		r.store.setDown(false)
		r.note("store: back")
		time.Sleep(3 * time.Second)
		r.startNode(n)
	}
	time.Sleep(12 * time.Second)
	r.mu.Lock()
	defer r.mu.Unlock()
	if n := len(r.twice); n > 0 {
		return broken, fmt.Sprintf("%d starts of tasks that were running on another executor: %s", n, strings.Join(r.twice[:min(n, 5)], "; "))
	}
	return held, "no task ran twice"
}
