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

func newGate(places, bound int) (*Gate, *timer.Service) {
	clock := timer.New(timer.WithManual(time.Unix(0, 0)))
	return New(clock, places, bound, metrics.NewRegistry()), clock
}

// line queues a ticket of a team.
func line(t *testing.T, g *Gate, team string) *ticket {
	t.Helper()
	k, reason := g.ask(team, time.Time{})
	if reason != "" || k == nil {
		t.Fatalf("not queued: %q", reason)
	}
	return k
}

func TestTurnsGoRoundTheTeams(t *testing.T) {
	is := is.New(t)
	g, _ := newGate(1, 100)
	leave, reason := g.Enter(context.Background(), "red", time.Time{})
	is.Equal(reason, "")
	var red []*ticket
	for range 50 {
		red = append(red, line(t, g, "red"))
	}
	blue := line(t, g, "blue")
	leave()
	is.True(red[0].given)
	is.True(!blue.given)
	g.leaver()()
	is.True(blue.given) // Blue's only request goes before red's other 49.
	is.True(!red[1].given)
}

func TestRefusedEarly(t *testing.T) {
	tests := map[string]struct {
		held     time.Duration // mean time that a place is held
		waiting  int
		deadline time.Duration
		reason   string
	}{
		"room in time":          {held: 100 * time.Millisecond, waiting: 2, deadline: time.Second},
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
				line(t, g, "red")
			}
			g.held = tt.held
			deadline := time.Time{}
			if tt.deadline > 0 {
				deadline = clock.Now().Add(tt.deadline)
			}
			_, reason = g.ask("red", deadline)
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
	for range 10 { // A wave of cancellations leaves nothing behind.
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
		waiting := g.waiting
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
	leave() // Counts once.
	is.Equal(g.Taken(), 0)
}

// TestPlacesAreNeverExceeded takes, gives back and abandons places at random.
func TestPlacesAreNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		places := rapid.IntRange(1, 3).Draw(t, "places")
		g, _ := newGate(places, 5)
		var holders []func()
		var lined []*ticket
		collect := func() {
			rest := lined[:0]
			for _, k := range lined {
				if k.given {
					holders = append(holders, g.leaver())
					continue
				}
				rest = append(rest, k)
			}
			lined = rest
		}
		t.Repeat(map[string]func(*rapid.T){
			"enter": func(t *rapid.T) {
				k, reason := g.ask(rapid.SampledFrom([]string{"red", "blue", "gold"}).Draw(t, "team"), time.Time{})
				if reason == "" && k == nil {
					holders = append(holders, g.leaver())
				}
				if k != nil {
					lined = append(lined, k)
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
				if len(lined) > 0 {
					i := rapid.IntRange(0, len(lined)-1).Draw(t, "ticket")
					if !g.abandon(lined[i]) {
						t.Fatal("a place was given and not noticed")
					}
					lined = append(lined[:i:i], lined[i+1:]...)
				}
			},
			"": func(t *rapid.T) {
				if len(holders) > places || g.Taken() != len(holders) {
					t.Fatalf("%d places, %d taken, %d held", places, g.Taken(), len(holders))
				}
				if len(lined) > 0 && len(holders) < places {
					t.Fatal("a place is free while somebody waits")
				}
			},
		})
	})
}
