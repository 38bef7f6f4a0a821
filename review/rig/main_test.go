package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	failed = 2
)

// TestMain makes the test binary the program of the scripts: it runs the scenario that its first
// argument names, and writes record.txt to the folder that the second one names.
func TestMain(*testing.M) {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: rig SCENARIO FOLDER")
		os.Exit(failed)
	}
	f, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	rec := &record{f: f}
	scenario := map[string]func(*record, bool) (int, error){"unlisted": unlisted, "unreadable": unreadable, "overtaken": overtaken, "acked": acked}[os.Args[1]]
	if scenario == nil {
		os.Exit(failed)
	}
	code, err := scenario(rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.line("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	rec.line("exit %d", code)
	_ = f.Close()
	os.Exit(code)
}

// unlisted: four of 24 executors lose the store. Once the entry of one is gone, the owner is
// killed right after it has ordered a start there. If it orders none, the executors get the store
// back, and lose it again later, four times at most.
func unlisted(rec *record, trouble bool) (int, error) {
	var w *world
	var mu sync.Mutex
	armed, done := make(map[string]bool), make(chan struct{})
	killed := false
	onRemoved := func(e *executor) {
		mu.Lock()
		defer mu.Unlock()
		armed[e.id] = true
	}
	w, err := newWorld(rec, []string{"a", "b", "c"}, 8, onRemoved)
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
	// 40 jobs a second of 6 tasks that work for 0.7 s: 168 of 192 cores.
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
		for range 4 {
			owner := w.store.leaderNow()
			rec.line("the owner is %s", owner)
			var cut []*executor
			for _, e := range w.executors {
				if "edge-"+e.zone != owner && len(cut) < 4 {
					cut = append(cut, e)
				}
			}
			for _, e := range cut {
				e.setCut(true)
			}
			select {
			case <-done:
				time.Sleep(3 * time.Second)
			case <-time.After(6500 * time.Millisecond):
			}
			for _, e := range cut {
				e.setCut(false)
			}
			mu.Lock()
			clear(armed)
			hit := killed
			mu.Unlock()
			if hit {
				break
			}
			time.Sleep(3 * time.Second)
		}
		if !killed {
			close(end)
			jobs.Wait()
			return failed, fmt.Errorf("no start came to an executor whose entry had been removed")
		}
	} else {
		time.Sleep(9 * time.Second)
	}
	time.Sleep(3 * time.Second)
	close(end)
	jobs.Wait()
	time.Sleep(8 * time.Second)
	rec.line("%d jobs accepted, %d runs", len(w.accepted.ids), w.judge.count)
	if w.judge.count == 0 {
		return failed, fmt.Errorf("nothing ran")
	}
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
