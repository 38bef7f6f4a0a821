package exec

import (
	"testing"
	"time"
)

// TestLateRequestsAreRefused starts requests of a backlog in bursts at a steady
// rate. It counts the admitted requests that expire, and the starts that are
// unused because the backlog is empty.
func TestLateRequestsAreRefused(t *testing.T) {
	const step, patience = 5 * time.Millisecond, time.Second
	for name, c := range map[string]struct {
		arrive, burst, every int // requests per step; starts per burst; steps between bursts
		refused              bool
		expired              int // at most so many admitted requests expire
	}{
		"half the pace":       {arrive: 1, burst: 80, every: 40},
		"four times the pace": {arrive: 8, burst: 80, every: 40, refused: true, expired: 300},
		"one at a time":       {arrive: 8, burst: 2, every: 1, refused: true, expired: 300},
		"nothing starts":      {arrive: 1, burst: 0, every: 1, refused: true, expired: 1400},
	} {
		t.Run(name, func(t *testing.T) {
			g, busy := newBacklogs(), class{team: "a"}
			quiet := class{team: "b"}
			now := time.Unix(0, 0)
			var waiting []time.Time // deadlines of the waiting requests
			refused, expired, started, unused := 0, 0, 0, 0
			for i := range 4000 {
				now = now.Add(step)
				for range c.arrive {
					if g.enter(busy, now, now.Add(patience)) {
						waiting = append(waiting, now.Add(patience))
						continue
					}
					refused++
				}
				for len(waiting) > 0 && !waiting[0].After(now) {
					g.leave(busy, now, false)
					waiting = waiting[1:]
					expired++
				}
				if i%c.every == 0 {
					n := min(c.burst, len(waiting))
					for range n {
						g.leave(busy, now, true)
					}
					waiting, started, unused = waiting[n:], started+n, unused+c.burst-n
				}
				if !g.enter(quiet, now, now.Add(step)) {
					t.Fatal("a request of another team was refused")
				}
				g.leave(quiet, now, true)
			}
			if c.refused != (refused > 0) || expired > c.expired || c.refused && unused > c.burst {
				t.Errorf("%d refused, %d expired, %d started, %d possible starts unused", refused, expired, started, unused)
			}
		})
	}
}

// While endpoints change their owner nothing starts. Requests that can still run
// before their deadline afterwards must not be refused.
func TestStallIsWaitedOut(t *testing.T) {
	const step, patience, stall = 10 * time.Millisecond, time.Second, 900 * time.Millisecond
	g, k := newBacklogs(), class{team: "a"}
	now, waiting := time.Unix(0, 0), 0
	for end := now.Add(stall); now.Before(end); now = now.Add(step) {
		if !g.enter(k, now, now.Add(patience)) {
			t.Fatal("a request was refused during the stall")
		}
		waiting++
	}
	for range waiting {
		g.leave(k, now, true)
	}
	if !g.enter(k, now, now.Add(patience)) {
		t.Fatal("a request was refused after the stall")
	}
}
