package rig3

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["12"] = caseUrgent }

const plainPrefix = "/plain77/"

// twoQueues returns a desired state with a queue of priority 0 and one of priority 2.
func twoQueues(version int, capCPU int64) []byte {
	route := func(name, prefix string, priority int) string {
		return fmt.Sprintf(`{"name":%q,"host":%q,"prefix":%q,"timeout_ms":3000,"slo_ms":500,"priority":%d,"service":%q,"attempts":3,"stretch":2}`, name, hostName, prefix, priority, service)
	}
	return fmt.Appendf(nil, `{"version":%d,"routes":[%s,%s],"services":[{"name":%q,"health_path":"/healthz","rejects_overload":false}],
"tenants":[{"name":"a","api_keys":[%q],"weight":50,"cap":{"cpu":%d,"mem_mb":0,"gpu":0}}],"limits":{}}`,
		version, route("quick", prefix, 0), route("plain", plainPrefix, 2), service, key, capCPU)
}

// caseUrgent: a tenant hands in one job of its first queue that can never be done. Its jobs of another
// queue can, and have to start.
func caseUrgent(rec *record, trouble bool) error {
	const capCPU = 20000
	c, err := newCell(rec, 3)
	if err != nil {
		return err
	}
	defer c.stop()
	c.store.put("op", "config", twoQueues(3, capCPU))
	c.world.capCPU["a"] = capCPU
	for i := range 6 {
		e := c.world.newExecutor(c.store, fmt.Sprintf("i-%04d", i), fmt.Sprintf("z%d", i%3), fmt.Sprintf("r-%d", i%2), "a", "127.0.0.1", amount{CPU: 32000, Mem: 131072})
		if err := e.start(); err != nil {
			return err
		}
	}
	if err := c.startAll(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	// One hopeless job among 32 within 4 s.
	for i := range 32 {
		if i == 12 && trouble {
			bad := &job{ID: "ffff000000000001", Spec: "hopeless", tenant: "a", Steps: []step{{Count: 1, CPU: 24000, Mem: 256, Est: 600, work: time.Second}}}
			if !c.submit(bad) {
				rec.note("the hopeless job isn't accepted")
			}
		}
		q := &job{ID: fmt.Sprintf("5c0e7a22%08x", i), Spec: fmt.Sprintf("text %d", i), tenant: "a", Steps: []step{{Count: 1, CPU: 1000, Mem: 64, Est: 200, work: 200 * time.Millisecond}}}
		if !c.submit(q) {
			return fmt.Errorf("job %s isn't accepted", q.ID)
		}
		time.Sleep(120 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	j := &job{ID: "5c0e7a21d94b36f8", Spec: "text", tenant: "a", Steps: []step{{Count: 1, CPU: 12000, Mem: 256, Est: 1000, work: time.Second}}}
	c.world.add(j)
	if status, _ := c.call(c.nodes[0], http.MethodPost, plainPrefix+j.ID, j.body()); status != http.StatusOK {
		return fmt.Errorf("the job isn't accepted: %d", status)
	}
	accepted := time.Now()
	for range 6 {
		time.Sleep(5 * time.Second)
		_, _ = c.call(c.nodes[1], http.MethodGet, plainPrefix+j.ID, nil)
	}
	if done, all := c.world.doneTasks(j.ID); done < all && len(c.world.running(j.ID)) == 0 {
		rec.broken("LOST", "job %s has had nothing running for %v, with all executors empty and nothing of its tenant running", j.ID, time.Since(accepted).Round(time.Second))
	}
	return nil
}
