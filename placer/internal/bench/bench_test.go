package bench

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/sched"
	"github.com/balsamford/balsamford/placer/internal/share"
)

// weights returns the weights of n teams: 2 for most, 4 for the first and 1 for
// every third team.
func weights(n int) ([]float64, map[string]sched.Team) {
	list, teams := make([]float64, n), make(map[string]sched.Team)
	for i := range list {
		w := 2.0
		if i == 0 {
			w = 4
		}
		if i%3 == 2 {
			w = 1
		}
		list[i] = w
		teams[teamName(i)] = sched.Team{Weight: w}
	}
	return list, teams
}

func policy(aim sched.Aim, learn bool, teams map[string]sched.Team) sched.Policy {
	return sched.Policy{
		Aim: aim, Teams: teams, Headroom: 0.03, Preempt: true, Learn: learn,
		Queues: map[string]sched.Queue{"urgent": {Rank: 3}, "service": {Rank: 2}, "gang": {Rank: 1}},
	}
}

// TestBench prints the table of docs/POLICY.md and checks the guarantees given
// there. It runs the load "today", or all loads with LOADS=all in the
// environment.
func TestBench(t *testing.T) {
	for i, load := range Loads() {
		if i > 0 && os.Getenv("LOADS") != "all" {
			return
		}
		t.Run(load.Name, func(t *testing.T) { bench(t, load) })
	}
}

func bench(t *testing.T, load Load) {
	is := is.New(t)
	var results []*Result
	list, teams := weights(load.Teams)
	run := func(name string, make func(*timer.Service) Engine) {
		clock := timer.New(timer.WithManual(time.Unix(0, 0)))
		results = append(results, Run(load, name, make(clock), clock, list))
	}
	run("fcfs", func(*timer.Service) Engine { return NewFCFS(false) })
	run("fcfs+skip", func(*timer.Service) Engine { return NewFCFS(true) })
	for _, aim := range []sched.Aim{sched.AimWait, sched.AimShare} {
		run(string(aim), func(c *timer.Service) Engine {
			return sched.New(sched.WithTimer(c), sched.WithPolicy(policy(aim, false, teams)))
		})
	}
	run("share+learn", func(c *timer.Service) Engine {
		return sched.New(sched.WithTimer(c), sched.WithPolicy(policy(sched.AimShare, true, teams)))
	})
	for name, beat := range map[string]time.Duration{"share x8": share.Period, "share x8 1s": time.Second, "share x8 alone": 0} {
		run(name+" home", func(c *timer.Service) Engine { return NewFleet(8, beat, c, policy(sched.AimShare, false, teams)) })
		run(name, func(c *timer.Service) Engine {
			return NewFleet(8, beat, c, policy(sched.AimShare, false, teams)).Spread(c)
		})
	}
	is.NoErr(Print(os.Stdout, results))
	for _, r := range results {
		is.Equal(r.overcommitted, 0)
		is.Equal(r.startedTwice, 0)
		is.Equal(r.gangsSplit, 0)
		if r.Engine == "fcfs" || r.Engine == "fcfs+skip" {
			continue
		}
		is.True(r.Decide(50) < time.Millisecond) // the p99 depends on other load on the machine
		is.True(r.Wait("urgent", 99) < 1100*time.Millisecond)
	}
}

// BenchmarkDecide measures the replacement of one task in a full zone of 770
// workers with 10,000 requests waiting: the task ends, a request is submitted,
// and a scheduling pass starts another task.
func BenchmarkDecide(b *testing.B) {
	clock := timer.New(timer.WithManual(time.Unix(0, 0)))
	_, teams := weights(47)
	s := sched.New(sched.WithTimer(clock), sched.WithPolicy(policy(sched.AimShare, false, teams)))
	for i := range 770 {
		s.Join(sched.Endpoint{Name: strconv.Itoa(i), Kind: point.Worker, Capacity: wire.Needs{CPU: workerCPU, Mem: 128 * gib}})
	}
	made := 0
	submit := func() {
		made++
		_ = s.Submit(sched.Item{
			ID: strconv.Itoa(made), Team: teamName(made % 47), Queue: "q", Kind: wire.Batch,
			Needs: wire.Needs{CPU: 1000 << (made % 4), Mem: 4 * gib}, Runtime: time.Minute,
		})
	}
	for range 20000 {
		submit()
	}
	running := s.Decide()
	for _, d := range running {
		s.Started(d.ID, d.Task)
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		d := running[i%len(running)]
		s.Ended(d.ID, d.Task, true)
		submit()
		got := s.Decide()
		if len(got) > 0 {
			running[i%len(running)] = got[0]
			running = append(running, got[1:]...)
			s.Started(got[0].ID, got[0].Task)
		}
	}
}
