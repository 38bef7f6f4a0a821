package rig3

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { cases["shape"] = caseShape }

// caseShape is a search: hopeless jobs of several shapes beside small ones, with a limit or without.
func caseShape(rec *record, trouble bool) error {
	capCPU, _ := strconv.ParseInt(os.Getenv("CAP"), 10, 64)
	c, err := newCell(rec, 3)
	if err != nil {
		return err
	}
	defer c.stop()
	c.store.put("op", "config", desired(3, 3, capCPU))
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
		st := step{Count: 4, CPU: 24000, Mem: 256, Est: est, work: time.Duration(est) * time.Millisecond}
		switch os.Getenv("SHAPE") {
		case "huge":
			st.CPU = 64000
		case "label":
			st.Requires, st.Count = "none", 40
		case "gang":
			st.Gang, st.Count = true, 12
		case "memory":
			st.Mem, st.Count = 200000, 40
		case "spread":
			st.MaxPer, st.Count, st.CPU = 1, 40, 30000
		case "overflow":
			st.CPU, st.Count = 9e18, 100
		}
		j := &job{ID: fmt.Sprintf("ffff0000000000%02x", i), Spec: fmt.Sprintf("hopeless %d", i), tenant: "a", Steps: []step{st}}
		if !c.submit(j) {
			rec.note("hopeless job isn't accepted")
		}
	}
	wg.Add(1)
	go func() {
		defer wg.Done()
		time.Sleep(6 * time.Second)
		hopeless(1, 300)
		time.Sleep(2 * time.Second)
		hopeless(2, 90000)
		time.Sleep(time.Second)
		hopeless(3, 90000)
	}()
	for i := 0; time.Since(began) < 25*time.Second; i++ {
		j := &job{ID: fmt.Sprintf("5c0e7a21%08x", i), Spec: fmt.Sprintf("text %d", i), Steps: []step{{Count: 1 + i%7, CPU: 1000, Mem: 64, Est: 200, work: 200 * time.Millisecond}}, tenant: "a"}
		wg.Add(1)
		go func() {
			defer wg.Done()
			if c.submit(j) {
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
			}
		}()
		time.Sleep(60 * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(17 * time.Second)
	lost := 0
	for _, j := range jobs {
		if done, all := c.world.doneTasks(j.ID); done < all && len(c.world.running(j.ID)) == 0 {
			lost++
		}
	}
	if lost > 0 {
		rec.broken("LOST", "%d of %d accepted jobs", lost, len(jobs))
	}
	return nil
}
