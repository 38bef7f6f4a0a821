package rig3

import (
	"fmt"
	"strings"
	"time"
)

func init() { cases["13"] = caseBorn }

// caseBorn: an executor starts again under its id, after the time of day of its machine was set back
// by two seconds. What ran on it has to start again.
func caseBorn(rec *record, trouble bool) error {
	c, err := newCell(rec, 3)
	if err != nil {
		return err
	}
	defer c.stop()
	c.store.put("op", "config", desired(3, 3, 0))
	room := amount{CPU: 32000, Mem: 131072}
	var es []*executor
	for i := range 4 {
		es = append(es, c.world.newExecutor(c.store, fmt.Sprintf("i-%04d", i), fmt.Sprintf("z%d", i%3), fmt.Sprintf("r-%d", i%2), "a", "127.0.0.1", room))
	}
	for _, e := range es[:2] {
		if err := e.start(); err != nil {
			return err
		}
	}
	if err := c.startAll(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var jobs []*job
	for i := range 3 {
		j := &job{ID: fmt.Sprintf("5c0e7a21d94b36f%d", i), Spec: fmt.Sprintf("text %d", i), Steps: []step{{Count: 1, CPU: 20000, Mem: 256, Est: 8000, work: 8 * time.Second}}, tenant: "a"}
		if !c.submit(j) {
			return fmt.Errorf("job %s isn't accepted", j.ID)
		}
		jobs = append(jobs, j)
	}
	e := es[2]
	const step = 2000 * time.Millisecond
	if trouble {
		rec.note("the time of day of the machine of %s is %v ahead", e.id, step)
		e.clock = func() time.Time { return time.Now().Add(step) }
	}
	if err := e.start(); err != nil {
		return err
	}
	if err := c.await(1400*time.Millisecond, "a run on "+e.id, func() bool {
		c.world.mu.Lock()
		defer c.world.mu.Unlock()
		return len(e.runs) > 0
	}); err != nil {
		return err
	}
	time.Sleep(300 * time.Millisecond)
	e.crash()
	rec.note("the time of day of the machine of %s is right again", e.id)
	c.world.mu.Lock()
	e.clock = time.Now
	c.world.mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	if err := e.start(); err != nil {
		return err
	}
	if err := es[3].start(); err != nil {
		return err
	}
	// The other jobs end after 8 s. From then on there is room for the third one many times over.
	time.Sleep(40 * time.Second)
	for _, j := range jobs {
		done, all := c.world.doneTasks(j.ID)
		state := c.state(j.ID)
		rec.note("job %s: %d of %d tasks done, running %v, shown as %s", j.ID, done, all, c.world.running(j.ID), state)
		if done < all && len(c.world.running(j.ID)) == 0 {
			rec.broken("LOST", "job %s has nothing running 40 s after its executor was lost, and is shown as %s", j.ID, strings.TrimSpace(state))
		}
	}
	return nil
}
