package rig

import (
	"fmt"
	"sync"
	"time"
)

// unreadable: another writer overwrites the entries of four executors. The owner is killed right
// after it has ordered a start on one of them.
func unreadable(rec *record, trouble bool) (int, error) {
	var w *world
	var mu sync.Mutex
	armed, killed, done := map[string]bool{}, false, make(chan struct{})
	w, err := newWorld(rec, []string{"a", "b", "c"}, 8, func(*executor) {})
	if err != nil {
		return failed, err
	}
	defer w.close()
	for _, e := range w.executors {
		e.onStart = func(e *executor) {
			mu.Lock()
			defer mu.Unlock()
			if killed || !armed[e.id] {
				return
			}
			killed = true
			for _, n := range w.nodes {
				if n.name == w.store.leaderNow() {
					n.kill()
					rec.line("%s is killed", n.name)
				}
			}
			close(done)
		}
	}
	for _, n := range w.nodes {
		if err := w.start(n); err != nil {
			return failed, err
		}
	}
	for _, n := range w.nodes {
		if err := w.await(n.name+" to be ready", 20*time.Second, func() bool { return w.ready(n) }); err != nil {
			return failed, err
		}
	}
	var jobs sync.WaitGroup
	end := make(chan struct{})
	jobs.Add(1)
	go func() {
		defer jobs.Done()
		tick := time.NewTicker(25 * time.Millisecond)
		defer tick.Stop()
		for {
			select {
			case <-end:
				return
			case <-tick.C:
				jobs.Add(1)
				go func() { defer jobs.Done(); w.submit(job(700, 6, 1000)) }()
			}
		}
	}()
	time.Sleep(5 * time.Second)
	if trouble {
		owner := w.store.leaderNow()
		var odd []*executor
		for _, e := range w.executors {
			if "edge-"+e.zone != owner && len(odd) < 4 {
				odd = append(odd, e)
			}
		}
		for _, e := range odd {
			e.mu.Lock()
			e.garble = true
			e.mu.Unlock()
			rec.line("another writer overwrites the entry of %s", e.id)
			w.store.set("servers", e.id, []byte("{\"service\":7"))
		}
		time.Sleep(2 * time.Second)
		mu.Lock()
		for _, e := range odd {
			armed[e.id] = true
		}
		mu.Unlock()
		select {
		case <-done:
		case <-time.After(8 * time.Second):
			close(end)
			jobs.Wait()
			return failed, fmt.Errorf("no start came to an executor whose entry can't be read")
		}
		time.Sleep(3 * time.Second)
		for _, e := range odd {
			e.mu.Lock()
			e.garble = false
			e.mu.Unlock()
		}
	} else {
		time.Sleep(9 * time.Second)
	}
	time.Sleep(3 * time.Second)
	close(end)
	jobs.Wait()
	time.Sleep(8 * time.Second)
	rec.line("%d jobs accepted, %d runs", len(w.accepted.ids), w.judge.count)
	out := w.judge.twice()
	for _, s := range out {
		rec.line("%s", s)
		fmt.Println(s)
	}
	if len(out) > 0 {
		return broken, nil
	}
	return held, nil
}
