package admit

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

func newGate(slots, maxQueued int) (*Gate, *timer.Service) {
	clock := timer.New(timer.WithManual(time.Unix(0, 0)))
	return New(clock, slots, maxQueued, metrics.NewRegistry()), clock
}

// enqueue adds a ticket to the queue of a team.
func enqueue(t *testing.T, g *Gate, team string) *ticket {
	t.Helper()
	k, reason := g.acquireOrQueue(team, time.Time{})
	if reason != "" || k == nil {
		t.Fatalf("not queued: %q", reason)
	}
	return k
}

func TestSlotsRotateAmongTeams(t *testing.T) {
	is := is.New(t)
	g, _ := newGate(1, 100)
	leave, reason := g.Enter(context.Background(), "red", time.Time{})
	is.Equal(reason, "")
	var red []*ticket
	for range 50 {
		red = append(red, enqueue(t, g, "red"))
	}
	blue := enqueue(t, g, "blue")
	leave()
	is.True(red[0].granted)
	is.True(!blue.granted)
	g.releaseFunc()()
	is.True(blue.granted) // Blue's only request is granted before red's other 49.
	is.True(!red[1].granted)
}

func TestRefusedEarly(t *testing.T) {
	tests := map[string]struct {
		held     time.Duration // moving average of the time that a slot is held
		waiting  int
		deadline time.Duration
		reason   string
	}{
		"turn comes in time":    {held: 100 * time.Millisecond, waiting: 2, deadline: time.Second},
		"turn comes too late":   {held: 100 * time.Millisecond, waiting: 10, deadline: time.Second, reason: wire.ReasonBusy},
		"no deadline":           {held: 100 * time.Millisecond, waiting: 10},
		"too many of this team": {waiting: 20, reason: wire.ReasonBusy},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g, clock := newGate(1, 20)
			_, reason := g.Enter(context.Background(), "red", time.Time{})
			is.Equal(reason, "")
			for range tt.waiting {
				enqueue(t, g, "red")
			}
			g.meanHold = tt.held
			deadline := time.Time{}
			if tt.deadline > 0 {
				deadline = clock.Now().Add(tt.deadline)
			}
			_, reason = g.acquireOrQueue("red", deadline)
			is.Equal(reason, tt.reason)
		})
	}
}

func TestWaitEnds(t *testing.T) {
	is := is.New(t)
	g, clock := newGate(1, 2)
	leave, _ := g.Enter(context.Background(), "red", time.Time{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 10 { // Cancelled requests leave nothing in the queue.
		_, reason := g.Enter(ctx, "red", time.Time{})
		is.Equal(reason, wire.ReasonCancel)
	}
	var group errgroup.Group
	var late string
	group.Go(func() error {
		_, late = g.Enter(context.Background(), "red", clock.Now().Add(time.Second))
		return nil
	})
	for {
		g.mu.Lock()
		waiting := g.queued
		g.mu.Unlock()
		if waiting == 1 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	for late == "" {
		clock.Advance(time.Second)
		if group.Wait() == nil {
			break
		}
	}
	is.Equal(late, wire.ReasonDeadline)
	leave()
	leave() // The second call has no effect.
	is.Equal(g.InUse(), 0)
}

// TestPlacesAreNeverExceeded acquires, releases and abandons slots at random. It
// checks that no more slots are in use than there are, and that none is free while
// a request is queued.
func TestPlacesAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 3).Draw(t, "places")
		g, _ := newGate(slots, 5)
		var holders []func()
		var queued []*ticket
		collect := func() {
			rest := queued[:0]
			for _, k := range queued {
				if k.granted {
					holders = append(holders, g.releaseFunc())
					continue
				}
				rest = append(rest, k)
			}
			queued = rest
		}
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				k, reason := g.acquireOrQueue(rapid.SampledFrom([]string{"red", "blue", "gold"}).Draw(t, "team"), time.Time{})
				if reason == "" && k == nil {
					holders = append(holders, g.releaseFunc())
				}
				if k != nil {
					queued = append(queued, k)
				}
			},
			"leave": func(*rapid.T) {
				if len(holders) > 0 {
					holders[0]()
					holders = holders[1:]
					collect()
				}
			},
			"abandon": func(t *rapid.T) {
				if len(queued) > 0 {
					i := rapid.IntRange(0, len(queued)-1).Draw(t, "ticket")
					if !g.abandon(queued[i]) {
						t.Fatal("abandon returned false for a ticket that was not granted")
					}
					queued = append(queued[:i:i], queued[i+1:]...)
				}
			},
			"": func(t *rapid.T) {
				if len(holders) > slots || g.InUse() != len(holders) {
					t.Fatalf("%d slots, InUse() = %d, %d holders", slots, g.InUse(), len(holders))
				}
				if len(queued) > 0 && len(holders) < slots {
					t.Fatal("a slot is free while a request is queued")
				}
			},
		})
	})
}
