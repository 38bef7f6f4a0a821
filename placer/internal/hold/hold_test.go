package hold

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/standin/engine"
)

// act does one thing at random.
func (m *model) act() {
	p := m.placers[rapid.IntRange(0, len(m.placers)-1).Draw(m.t, "placer")]
	switch rapid.IntRange(0, 15).Draw(m.t, "act") {
	case 0:
		p.want = !p.want
	case 1:
		m.timer.Advance(time.Duration(rapid.IntRange(1, 20).Draw(m.t, "seconds")) * time.Second)
	case 2:
		for i := range m.placers {
			if m.placers[i] == p && rapid.IntRange(0, 3).Draw(m.t, "restart") == 0 {
				m.restart(i)
			}
		}
	case 3, 4:
		if n := len(m.late); n > 0 {
			i := rapid.IntRange(0, n-1).Draw(m.t, "late")
			deliver := m.late[i]
			m.late = append(m.late[:i], m.late[i+1:]...)
			deliver()
		}
	case 5, 6, 7:
		p.start()
	case 8, 9:
		m.timer.Advance(time.Duration(rapid.IntRange(1, 1500).Draw(m.t, "ms")) * time.Millisecond)
	default:
		p.step()
	}
}

// Whatever is lost, delayed, paused or restarted: no two processes own under
// one epoch, and an owner takes leases as run out only when nothing runs.
// Once faults end, the placer that should own does, and tasks are kept alive.
func TestOwnershipUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 3)
		for range rapid.IntRange(1, 150).Draw(t, "acts") {
			m.act()
		}
		m.settle()
	})
}

// settle ends all faults and checks what follows.
func (m *model) settle() {
	m.faults, m.late = false, nil
	heir := m.placers[rapid.IntRange(0, len(m.placers)-1).Draw(m.t, "heir")]
	m.round(heir, 60)
	if !heir.told {
		m.t.Fatalf("%s doesn't own although it should", heir.name)
	}
	for _, p := range m.placers {
		if p != heir && p.told {
			m.t.Fatalf("%s still takes itself for the owner", p.name)
		}
	}
	heir.start()
	running := m.engine.Running()
	if running == 0 {
		m.t.Fatalf("the owner can't start anything")
	}
	m.round(heir, 60)
	if now := m.engine.Running(); now != running {
		m.t.Fatalf("%d tasks of %d are left", now, running)
	}
}

// round lets all placers act often enough for renewals.
func (m *model) round(heir *placer, n int) {
	for range n {
		for _, p := range m.placers {
			p.want = p == heir
			p.step()
		}
		m.timer.Advance(modelTerm / periods / 2)
	}
}

// A planned hand-over leaves no gap: tasks run on, and the next owner has the
// endpoint within a fraction of a term.
func TestPlannedHandOverLeavesNoGap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 2)
		m.faults = false
		a, b := m.placers[0], m.placers[1]
		m.round(a, 3)
		for range rapid.IntRange(1, 5).Draw(t, "tasks") {
			a.start()
		}
		tasks := m.engine.Running()
		m.timer.Advance(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
		m.round(b, 3) // 1.5 s: half a term
		if !b.told || a.told {
			t.Fatal("not handed over within half a term")
		}
		m.round(b, 20)
		if m.engine.Running() != tasks {
			t.Fatalf("%d of %d tasks run after the hand-over", m.engine.Running(), tasks)
		}
	})
}

// A paused owner that wakes starts nothing once another has opened.
func TestPausedOwnerIsFenced(t *testing.T) {
	m := newModel(nil, 2)
	m.faults = false
	a, b := m.placers[0], m.placers[1]
	m.round(a, 3)
	pass, err := a.seat.Enter(a.epoch)
	if err != nil {
		t.Fatal(err)
	}
	m.timer.Advance(modelTerm)
	b.want = true
	for range 4 {
		b.step()
	}
	if !b.told {
		t.Fatal("the successor waits longer than a term")
	}
	err = m.engine.Stop(context.Background(), stopOf(pass))
	if err == nil {
		t.Fatal("the old owner's call was taken")
	}
	a.step()
	if a.told {
		t.Fatal("the old owner goes on")
	}
	for _, e := range m.engine.Log().Events() {
		if e.Event == engine.Began {
			t.Fatal("something was started")
		}
	}
}
