package exec

import (
	"testing"
	"time"
)

// TestLateTurnsAreRefused lets a line drain at a steady pace, in bursts, and
// counts whom it lets wait in vain and when it runs empty.
func TestLateTurnsAreRefused(t *testing.T) {
	const step, patience = 5 * time.Millisecond, time.Second
	for name, c := range map[string]struct {
		arrive, burst, every int // requests in each step; starts in each so many steps
		refused              bool
		vain                 int // of the admitted ones, at most
	}{
		"half the pace":       {arrive: 1, burst: 80, every: 40},
		"four times the pace": {arrive: 8, burst: 80, every: 40, refused: true, vain: 300},
		"one at a time":       {arrive: 8, burst: 2, every: 1, refused: true, vain: 300},
		"nothing starts":      {arrive: 1, burst: 0, every: 1, refused: true, vain: 1400},
	} {
		t.Run(name, func(t *testing.T) {
			s, k := newLines(), class{team: "a"}
			quiet := class{team: "b"}
			now := time.Unix(0, 0)
			var waiting []time.Time // their deadlines
			refused, vain, started, idle := 0, 0, 0, 0
			for i := range 4000 {
				now = now.Add(step)
				for range c.arrive {
					if s.enter(k, now, now.Add(patience)) {
						waiting = append(waiting, now.Add(patience))
						continue
					}
					refused++
				}
				for len(waiting) > 0 && !waiting[0].After(now) {
					s.leave(k, now, false)
					waiting = waiting[1:]
					vain++
				}
				if i%c.every == 0 {
					n := min(c.burst, len(waiting))
					for range n {
						s.leave(k, now, true)
					}
					waiting, started, idle = waiting[n:], started+n, idle+c.burst-n
				}
				if !s.enter(quiet, now, now.Add(step)) {
					t.Fatal("another team is refused")
				}
				s.leave(quiet, now, true)
			}
			if c.refused != (refused > 0) || vain > c.vain || c.refused && idle > c.burst {
				t.Errorf("%d refused, %d waited in vain, %d started, room for %d was left", refused, vain, started, idle)
			}
		})
	}
}

// Nothing starts while endpoints change hands, which is no reason to refuse
// what they would run within its time.
func TestStallIsWaitedOut(t *testing.T) {
	const step, patience, stall = 10 * time.Millisecond, time.Second, 900 * time.Millisecond
	s, k := newLines(), class{team: "a"}
	now, waiting := time.Unix(0, 0), 0
	for end := now.Add(stall); now.Before(end); now = now.Add(step) {
		if !s.enter(k, now, now.Add(patience)) {
			t.Fatal("a request is refused during the stall")
		}
		waiting++
	}
	for range waiting {
		s.leave(k, now, true)
	}
	if !s.enter(k, now, now.Add(patience)) {
		t.Fatal("a request is refused after the stall")
	}
}
