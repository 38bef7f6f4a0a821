package rig3

import (
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

func init() { cases["mix"] = caseMix }

// caseMix is a search: jobs of all kinds while the leading node is killed, paused or stopped.
func caseMix(rec *record, trouble bool) error {
	seed, _ := strconv.ParseInt(os.Getenv("SEED"), 10, 64)
	rnd := rand.New(rand.NewSource(seed))
	nodes := 4
	c, err := newCell(rec, nodes)
	if err != nil {
		return err
	}
	defer c.stop()
	c.store.put("op", "config", desired(3, 3, 150000))
	c.world.capCPU["a"] = 150000
	var es []*executor
	for i := range 8 {
		room := amount{CPU: 32000, Mem: 131072}
		if i%4 == 3 {
			room = amount{CPU: 16000, Mem: 65536}
		}
		kind := []string{"a", "b"}[i%2]
		e := c.world.newExecutor(c.store, fmt.Sprintf("i-%04d", i), fmt.Sprintf("z%d", i%4), fmt.Sprintf("r-%d", i/4), kind, "127.0.0.1", room)
		es = append(es, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	if err := c.startAll(); err != nil {
		return err
	}
	var mu sync.Mutex
	var jobs []*job
	var wg sync.WaitGroup
	newJob := func(i int) *job {
		j := &job{ID: fmt.Sprintf("%08x%08x", seed&0xffffffff, i), Spec: fmt.Sprintf("text %d", i), tenant: "a"}
		n := 1 + rnd.Intn(3)
		for s := range n {
			st := step{Count: 1 + rnd.Intn(6), CPU: int64(500 + rnd.Intn(6000)), Mem: 256, Est: 600, work: time.Duration(100+rnd.Intn(1500)) * time.Millisecond}
			if s > 0 && rnd.Intn(3) > 0 {
				st.After = []int{rnd.Intn(s)}
			}
			switch rnd.Intn(8) {
			case 0:
				st.Gang = true
				st.SameRack = rnd.Intn(2) == 0
			case 1:
				st.Spec = true
			case 2:
				st.Requires = []string{"a", "b"}[rnd.Intn(2)]
			case 3:
				st.MaxPer = 1
			}
			st.Saves = rnd.Intn(3) == 0
			if rnd.Intn(6) == 0 {
				st.failures = 1 + rnd.Intn(2)
			}
			j.Steps = append(j.Steps, st)
		}
		if rnd.Intn(3) == 0 {
			j.Times = 2 + rnd.Intn(6)
			j.Interval = int64(300 + rnd.Intn(1500))
			j.StartAt = time.Now().Add(time.Duration(rnd.Intn(3000)) * time.Millisecond).UnixMilli()
		}
		return j
	}
	end := time.Now().Add(40 * time.Second)
	wg.Add(1)
	go func() {
		defer wg.Done()
		for i := 0; time.Now().Before(end); i++ {
			mu.Lock()
			j := newJob(i)
			pause := time.Duration(50+rnd.Intn(500)) * time.Millisecond
			cancel := rnd.Intn(12) == 0
			again := rnd.Intn(6) == 0
			mu.Unlock()
			if c.submit(j) {
				mu.Lock()
				jobs = append(jobs, j)
				mu.Unlock()
				if again {
					wg.Add(1)
					go func() {
						defer wg.Done()
						time.Sleep(2 * time.Second)
						c.call(c.nodes[i%nodes], "POST", prefix+j.ID, j.body())
					}()
				}
				if cancel {
					wg.Add(1)
					go func() {
						defer wg.Done()
						time.Sleep(time.Second)
						if st, _ := c.call(c.nodes[i%nodes], "DELETE", prefix+j.ID, nil); st == 200 {
							c.world.mu.Lock()
							j.cancelled = time.Now()
							c.world.mu.Unlock()
						}
					}()
				}
			}
			time.Sleep(pause)
		}
	}()
	if os.Getenv("CONFIG") != "" {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for version := 10; time.Now().Before(end); version += 3 {
				mu.Lock()
				pause, what := time.Duration(300+rnd.Intn(2500))*time.Millisecond, rnd.Intn(5)
				mu.Unlock()
				time.Sleep(pause)
				switch what {
				case 0: // Without the queue.
					c.store.put("op", "config", twoQueues(version, 150000))
					rec.note("state %d: another queue name", version)
				case 1:
					c.store.put("op", "config", desired(version, 3, 30000))
					rec.note("state %d: cap 30000", version)
				default:
					c.store.put("op", "config", desired(version, 3, 150000))
					rec.note("state %d", version)
				}
			}
			c.store.put("op", "config", desired(1000, 3, 150000))
		}()
	}
	for trouble && time.Now().Before(end) {
		mu.Lock()
		pause, what, k := time.Duration(500+rnd.Intn(4000))*time.Millisecond, rnd.Intn(8), rnd.Intn(len(es))
		down := time.Duration(200+rnd.Intn(3000)) * time.Millisecond
		mu.Unlock()
		time.Sleep(pause)
		o := c.owner()
		if o == nil {
			continue
		}
		switch what {
		case 0, 1:
			o.kill()
			time.Sleep(down / 2)
			if err := o.start(); err != nil {
				return err
			}
		case 2, 3:
			o.signal(syscall.SIGSTOP)
			time.Sleep(down)
			o.signal(syscall.SIGCONT)
		case 4:
			o.signal(syscall.SIGTERM)
			select {
			case <-o.done:
			case <-time.After(6 * time.Second):
				rec.broken("HANG", "%s didn't stop in its grace", o.name)
				o.kill()
			}
			if err := o.start(); err != nil {
				return err
			}
		case 5, 6:
			es[k].crash()
			time.Sleep(down / 4)
			if err := es[k].start(); err != nil {
				return err
			}
		case 7:
			rec.note("%s is cut off", es[k].id)
			e := es[k]
			c.world.mu.Lock()
			cut := time.Now().Add(down)
			e.hook = func(string) bool { time.Sleep(time.Until(cut)); return true }
			c.world.mu.Unlock()
			time.Sleep(down)
			e.hook = nil
		}
	}
	wg.Wait()
	time.Sleep(25 * time.Second)
	for _, j := range jobs {
		done, all := c.world.doneTasks(j.ID)
		c.world.mu.Lock()
		cancelled := !j.cancelled.IsZero()
		c.world.mu.Unlock()
		state := c.state(j.ID)
		run := c.world.running(j.ID)
		rec.note("job %s: %d of %d, running %d, shown as %s, cancelled %v", j.ID, done, all, len(run), state, cancelled)
		switch {
		case cancelled:
			if len(run) > 0 {
				rec.broken("UNASKED", "%s runs on: %v", j.ID, run)
			}
		case state == `{"state":"failed"}`:
			ok := false
			for name, t := range c.world.tasks {
				if id, _, _, _, _ := parseTask(name); id == j.ID && t.failed >= c.world.attempts {
					ok = true
				}
			}
			if !ok {
				rec.broken("LOST", "%s is shown as failed without cause", j.ID)
			}
		case state == `{"state":"done"}`:
			if done < all {
				rec.broken("MIXED", "%s is shown as done with %d of %d", j.ID, done, all)
			}
		default:
			if len(run) == 0 && (j.Times == 0 || true) {
				rec.broken("LOST", "%s: %d of %d, nothing running, shown as %s", j.ID, done, all, state)
			}
		}
	}
	return nil
}
