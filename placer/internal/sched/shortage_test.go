package sched

import (
	"strconv"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/parts"
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/alloc"
)

// newCrowded returns a scheduler with four workers that are full of small tasks
// of team "many", while more of them wait.
func newCrowded(t *testing.T, p Policy, opts ...Option) *Scheduler {
	t.Helper()
	is := is.New(t)
	s := New(append(opts, WithTimer(newManualTimer()), WithPolicy(p))...)
	for i := range 4 {
		s.Join(Endpoint{Name: "w" + strconv.Itoa(i), Kind: point.Worker, Capacity: wire.Needs{CPU: 8000, Accel: int64(i / 3)}})
	}
	for i := range 200 {
		is.NoErr(s.Submit(batch("small"+strconv.Itoa(i), "many", 1000, 1)))
	}
	for _, d := range s.Decide() {
		s.Started(d.ID, d.Task)
	}
	return s
}

// endTasks ends n tasks one after another on the endpoints in turn, runs a pass
// after each, and returns the number of tasks started for each request.
func endTasks(s *Scheduler, n int) map[string]int {
	started := make(map[string]int)
	for i := range n {
		row := s.workers.table.Row("w" + strconv.Itoa(i%4))
		runs := s.workers.runsByRow[row]
		r := runs[0]
		if r.entry.adopted {
			r = runs[1]
		}
		s.Ended(r.entry.item.ID, r.number, true)
		for _, d := range s.Decide() {
			s.Started(d.ID, d.Task)
			started[d.ID]++
		}
	}
	return started
}

// TestExhaustedLimitBlocksNoOtherTeam checks that a team whose limit is used up
// doesn't hold back other teams: none yields room to it, no task is preempted
// for it, and no endpoint stays reserved for its gang.
func TestExhaustedLimitBlocksNoOtherTeam(t *testing.T) {
	urgent := batch("held", "few", 8000, 1)
	urgent.Urgent = true
	tests := map[string]Item{
		"large task": batch("held", "few", 8000, 1), "urgent task": urgent, "gang": gang("held", "few", 8000, 2),
	}
	for name, item := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &fakeLimit{map[string]parts.Bound{"few": parts.AtMost(2)}, map[string]parts.Amount{}}
			s := newCrowded(t, Policy{Aim: AimShare, Preempt: true}, WithLimit(c))
			is.NoErr(s.Submit(item))
			c.Adopt("few", parts.Count(2)) // uses up the limit
			s.workers.reserved.entry = s.workers.entries["held"]
			s.workers.reserved.rows = map[*alloc.Row]bool{s.workers.table.Row("w0"): true}
			s.workers.reserved.until = s.workers.timer.Now().Add(reservationTTL)
			for _, d := range s.Decide() {
				is.True(!d.Preempt)
			}
			if item.Kind != wire.Gang {
				s.workers.reserved.release()
			}
			small := 0
			for _, n := range endTasks(s, 16) {
				small += n
			}
			is.Equal(small, 16) // each ended task is replaced at once
		})
	}
}

// TestAboveWholeLimit checks that a request is refused if it needs more than its
// team's whole limit, since it could never run.
func TestAboveWholeLimit(t *testing.T) {
	accel := func(item Item, n int64) Item { item.Needs.Accel = n; return item }
	tests := map[string]struct {
		item Item
		want string
	}{
		"fits":              {accel(batch("j", "t", 1, 100), 4), ""},
		"task":              {accel(batch("j", "t", 1, 1), 5), "request j refused: never: what it needs at once exceeds the limit of team t: 4 accel"},
		"gang":              {accel(gang("j", "t", 1, 5), 1), "request j refused: never: what it needs at once exceeds the limit of team t: 4 accel"},
		"unlimited team":    {accel(gang("j", "u", 1, 5), 1), ""},
		"another resource":  {gang("j", "t", 1000, 5), ""},
		"exactly the limit": {accel(gang("j", "t", 1, 4), 1), ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := parts.AtMost(100)
			b.Set(parts.Accel, 4)
			s := New(WithTimer(newManualTimer()), WithLimit(&fakeLimit{map[string]parts.Bound{"t": b, "u": parts.AtMost(5)}, map[string]parts.Amount{}}))
			s.Join(Endpoint{Name: "w", Kind: point.Worker, Capacity: wire.Needs{CPU: 9000, Accel: 8}})
			err := s.Submit(tt.item)
			if tt.want == "" {
				is.NoErr(err)
				return
			}
			is.Equal(err.Error(), tt.want)
		})
	}
}

// TestSmallTasksYieldToLargeOnes checks that a large task of a team below its
// share isn't starved by small tasks that fill every gap.
func TestSmallTasksYieldToLargeOnes(t *testing.T) {
	accel := batch("large", "few", 4000, 1)
	accel.Needs.Accel = 1
	tests := map[string]struct {
		policy Policy
		item   Item
		starts bool // whether the large one starts
	}{
		"large task":                 {Policy{}, batch("large", "few", 8000, 1), true},
		"gang":                       {Policy{}, gang("large", "few", 1500, 2), true},
		"fills gaps for short waits": {Policy{Aim: AimWait}, batch("large", "few", 8000, 1), false},
		"other resource":             {Policy{}, accel, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newCrowded(t, tt.policy)
			if tt.item.Needs.Accel > 0 {
				s.Adopt("w3", Task{ID: "holder", Team: "other", Kind: wire.Batch, Needs: wire.Needs{Accel: 1}})
			}
			is.NoErr(s.Submit(tt.item))
			got := endTasks(s, 60)
			is.Equal(got["large"] > 0, tt.starts)
			if tt.starts {
				is.Equal(got["large"], tt.item.Tasks)
				return
			}
			is.Equal(len(got), 60) // small tasks continue to start
		})
	}
}

// TestYieldingIsBounded checks that no more room than maxKeptFraction allows, or
// the largest task needs, is kept free while a waiting task would fit.
func TestYieldingIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(WithTimer(newManualTimer()), WithPolicy(Policy{Headroom: 0.05}))
		workers := rapid.IntRange(1, 8).Draw(t, "workers")
		for i := range workers {
			s.Join(worker(strconv.Itoa(i), 8000))
		}
		for i := range rapid.IntRange(1, backfillDepth).Draw(t, "requests") {
			team := "t" + strconv.Itoa(rapid.IntRange(0, 3).Draw(t, "team"))
			cpu := rapid.SampledFrom([]int64{500, 1000, 4000, 7000}).Draw(t, "cpu")
			if err := s.Submit(batch(strconv.Itoa(i), team, cpu, rapid.IntRange(1, 6).Draw(t, "tasks"))); err != nil {
				t.Fatal(err)
			}
		}
		var running []Decision
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			for _, d := range s.Decide() {
				s.Started(d.ID, d.Task)
				running = append(running, d)
			}
			idle := s.workers.table.Spare().CPU
			if bound := int64(workers)*8000/20 + max(int64(workers)*8000/10, 7000); idle > bound && s.Waiting() > 0 {
				checkNothingFits(t, s)
			}
			if len(running) == 0 {
				return
			}
			i := rapid.IntRange(0, len(running)-1).Draw(t, "ended")
			s.Ended(running[i].ID, running[i].Task, true)
			running = append(running[:i], running[i+1:]...)
		}
	})
}

// checkNothingFits fails if a waiting task could start on some endpoint.
func checkNothingFits(t *rapid.T, s *Scheduler) {
	for id, e := range s.workers.entries {
		if e.subqueue == nil {
			continue
		}
		if row := s.workers.choose(e); row != nil {
			t.Fatalf("request %s waits although it fits endpoint %s and more room is free than may be kept free", id, row.Name())
		}
	}
}
