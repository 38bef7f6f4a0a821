package rig3

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["11"] = caseFloor }

// caseFloor: a tenant hands in two jobs that can never be done, since each of their tasks needs more
// than the tenant may have running, between many small ones that can.
func caseFloor(rec *record, trouble bool) error {
	const capCPU = 20000
	c, err := newCell(rec, 3)
	if err != nil {
		return err
	}
	defer c.stop()
	c.store.put("op", "config", desired(3, 3, capCPU))
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
	began := time.Now()
	var mu sync.Mutex
	var jobs []*job
	var wg sync.WaitGroup
	hopeless := func(i, est int) {
		j := &job{ID: fmt.Sprintf("ffff0000000000%02x", i), Spec: fmt.Sprintf("hopeless %d", i), tenant: "a",
			Steps: []step{{Count: 4, CPU: 24000, Mem: 256, Est: est, work: time.Duration(est) * time.Millisecond}}}
		if !c.submit(j) {
			rec.note("hopeless job isn't accepted")
		}
	}
	if trouble {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(6 * time.Second)
			hopeless(1, 300)
			time.Sleep(2 * time.Second)
			hopeless(2, 90000)
		}()
	}
	for i := 0; time.Since(began) < 20*time.Second; i++ {
		j := &job{ID: fmt.Sprintf("5c0e7a21%08x", i), Spec: fmt.Sprintf("text %d", i), Steps: []step{{Count: 1, CPU: 1000, Mem: 64, Est: 200, work: 200 * time.Millisecond}}, tenant: "a"}
		wg.Add(1)
		go func() {
			defer wg.Done()
			if c.submit(j) {
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
			}
		}()
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	rec.note("the traffic ends; %d jobs that can be done were accepted", len(jobs))
	time.Sleep(17 * time.Second) // finish_s, and 3 s more.
	lost := 0
	for _, j := range jobs {
		if done, all := c.world.doneTasks(j.ID); done < all && len(c.world.running(j.ID)) == 0 {
			lost++
			if lost <= 5 {
				rec.note("job %s: accepted %v ago, %d of %d tasks done, shown as %s", j.ID, time.Since(j.accepted).Round(time.Millisecond), done, all, c.state(j.ID))
			}
		}
	}
	if lost > 0 {
		rec.broken("LOST", "%d of %d accepted jobs have nothing running 17 s after the end of the traffic, with all executors empty and nothing of the tenant running", lost, len(jobs))
	}
	return nil
}
