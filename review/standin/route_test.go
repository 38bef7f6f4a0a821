package standin

import (
	"fmt"
	"time"
)

func init() { cases["route"] = routeCase }

// routeCase: a route is removed while jobs of its queue are at work, then the leading process
// gets SIGTERM and starts again.
func routeCase() (int, string) {
	zones := []string{"za", "zb"}
	k := kinds{
		"first": {work: 14 * time.Second, cpu: 1000},
		"flaky": {work: 24 * time.Second, cpu: 1000, fails: 1},
	}
	sets, proofs := route{"sets", "/sets/", 1, 4}, route{"proofs", "/proofs/", 0, 4}
	r := newRig(k, machines(6, zones, func(i int) []string { return []string{"a", "r" + fmt.Sprint(1+i%2)} }), []string{"za", "za", "zb", "zb"}, sets, proofs)
	const chain, flaky = "00000000000000d1", "00000000000000e1"
	time.Sleep(4 * time.Second)
	r.submit("/sets/"+chain, key1, `{"spec":"first","steps":[{"count":2,"cpu":1000,"mem_mb":512,"est_ms":14000},{"count":2,"cpu":1000,"mem_mb":512,"est_ms":14000,"after":[0]}]}`)
	r.submit("/sets/"+flaky, key1, `{"spec":"flaky","steps":[{"count":1,"cpu":1000,"mem_mb":512,"est_ms":24000}]}`)
	r.await(5*time.Second, "both jobs to start", func() bool { return r.running(chain) == 2 && r.running(flaky) == 1 })
	r.publish(proofs)
	time.Sleep(4 * time.Second)
	if r.trouble {
		n := r.leader()
		r.stopNode(n)
		time.Sleep(time.Second)
		r.startNode(n)
	}
	r.await(15*time.Second, "the first step to end", func() bool { done, _ := r.count(chain, "done"); return done >= 2 })
	// The second step's turn has come. finish_s later it may not have had nothing running for 3 s.
	ended := time.Now()
	r.until(18*time.Second, func() bool { return len(r.startsOf(chain)) > 2 })
	idle := time.Since(ended)
	started := len(r.startsOf(chain))
	again := len(r.startsOf(flaky))
	r.note("second step: %d starts, after %.1f s; the job that failed once: %d starts", started-2, idle.Seconds(), again)
	r.publish(sets, proofs)
	time.Sleep(3 * time.Second)
	state1, state2 := r.state("/sets/"+chain, key1), r.state("/sets/"+flaky, key1)
	failed, _ := r.count(flaky, "failed")
	switch {
	case state2 == "failed" && failed < 4:
		return broken, fmt.Sprintf("the job is shown as failed after %d of 4 attempts; the second step of the other had %d starts in %.0f s, and that job is %q", failed, started-2, idle.Seconds(), state1)
	case started == 2 && idle > 17*time.Second:
		return broken, fmt.Sprintf("the second step had no start for %.0f s after its turn had come", idle.Seconds())
	}
	return held, fmt.Sprintf("the second step started after %.1f s; the states are %q and %q", idle.Seconds(), state1, state2)
}
