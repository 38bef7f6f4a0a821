package rig3

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"syscall"
	"time"
)

func init() { cases["big"] = caseBig }

// caseBig is a search: jobs of unusual shapes while the leading node is killed.
func caseBig(rec *record, trouble bool) error {
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	rnd := rand.New(rand.NewSource(seed))
	c, err := newCell(rec, 4)
	if err != nil {
		return err
	}
	defer c.stop()
	c.store.put("op", "config", desired(3, 3, 0))
	for i := range 8 {
		e := c.world.newExecutor(c.store, fmt.Sprintf("i-%04d", i), fmt.Sprintf("z%d", i%4), fmt.Sprintf("r-%d", i/4), "a", "127.0.0.1", amount{CPU: 32000, Mem: 131072})
		if err := e.start(); err != nil {
			return err
		}
	}
	if err := c.startAll(); err != nil {
		return err
	}
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	var chain []step
	for i := range 120 {
		st := step{Count: 1 + i%2, CPU: 100, Mem: 1, Est: 20, work: ms(20)}
		if i > 0 {
			st.After = []int{i - 1}
		}
		chain = append(chain, st)
	}
	jobs := []*job{
		{Spec: "wide", Steps: []step{{Count: 2500, CPU: 50, Mem: 1, Est: 200, work: ms(2000)}, {Count: 400, CPU: 100, Mem: 1, Est: 100, After: []int{0}, work: ms(300)}}},
		{Spec: "chain", Steps: chain},
		{Spec: "often", Times: 300, Interval: 60, StartAt: time.Now().Add(2 * time.Second).UnixMilli(), Steps: []step{{Count: 2, CPU: 100, Mem: 1, Est: 50, work: ms(100)}, {Count: 1, CPU: 100, Mem: 1, Est: 50, After: []int{0}, work: ms(50)}}},
		{Spec: "past", Times: 50, Interval: 1000, StartAt: time.Now().Add(-time.Hour).UnixMilli(), Steps: []step{{Count: 30, CPU: 100, Mem: 1, Est: 50, work: ms(400)}}},
		{Spec: "gang", Steps: []step{{Count: 60, CPU: 1000, Mem: 1, Est: 500, Gang: true, Saves: true, work: ms(3000)}, {Count: 40, CPU: 1000, Mem: 1, Gang: true, SameRack: true, After: []int{0}, Est: 100, work: ms(500)}}},
		{Spec: "fails", Steps: []step{{Count: 300, CPU: 100, Mem: 1, Est: 100, work: ms(50), failures: 2}}},
		{Spec: "once each", Times: 5, Interval: 700, StartAt: time.Now().Add(time.Second).UnixMilli(), Steps: []step{{Count: 8, CPU: 100, Mem: 1, Est: 100, MaxPer: 1, work: ms(600)}}},
		{Spec: "lasting", Steps: []step{{Count: 12, CPU: 500, Mem: 1, Daemon: true, MaxPer: 2}}},
	}
	for i, j := range jobs {
		j.ID, j.tenant = fmt.Sprintf("%08x%08x", seed, i), "a"
		if !c.submit(j) {
			rec.broken("LOST", "%s isn't accepted", j.Spec)
		}
	}
	end := time.Now().Add(35 * time.Second)
	for trouble && time.Now().Before(end) {
		time.Sleep(time.Duration(1000+rnd.Intn(5000)) * time.Millisecond)
		o := c.owner()
		if o == nil {
			continue
		}
		switch rnd.Intn(3) {
		case 0:
			o.kill()
		case 1:
			o.signal(syscall.SIGTERM)
			select {
			case <-o.done:
			case <-time.After(6 * time.Second):
				rec.broken("HANG", "%s didn't stop in its grace", o.name)
				o.kill()
			}
		case 2:
			o.signal(syscall.SIGSTOP)
			time.Sleep(2 * time.Second)
			o.signal(syscall.SIGCONT)
			continue
		}
		if err := o.start(); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(end.Add(30 * time.Second)))
	for _, j := range jobs {
		done, all := c.world.doneTasks(j.ID)
		state, run := c.state(j.ID), len(c.world.running(j.ID))
		rec.note("job %s: %d of %d, running %d, shown as %s", j.Spec, done, all, run, state)
		switch {
		case j.Spec == "lasting":
			if run != 12 {
				rec.broken("LOST", "%s: %d running", j.Spec, run)
			}
		case state != `{"state":"done"}` || done < all:
			rec.broken("LOST", "%s: %d of %d, running %d, shown as %s", j.Spec, done, all, run, state)
		}
	}
	return nil
}
