package hold

import (
	"context"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/standin/engine"
)

// act performs one random action.
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
		if n := len(m.delayed); n > 0 {
			i := rapid.IntRange(0, n-1).Draw(m.t, "late")
			deliver := m.delayed[i]
			m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
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

// Messages are lost and delayed, processes are paused and restarted. No two
// processes may own the endpoint under one epoch, and an owner may report the
// leases as expired only when no task runs. Once the faults end, the designated
// placer must own the endpoint and its tasks must stay alive.
func TestOwnershipUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 3)
		for range rapid.IntRange(1, 150).Draw(t, "acts") {
			m.act()
		}
		m.settle()
	})
}

// settle ends all faults and checks that one placer owns the endpoint.
func (m *model) settle() {
	m.faults, m.delayed = false, nil
	successor := m.placers[rapid.IntRange(0, len(m.placers)-1).Draw(m.t, "heir")]
	m.round(successor, 60)
	if !successor.owns {
		m.t.Fatalf("%s should own the endpoint but doesn't", successor.name)
	}
	for _, p := range m.placers {
		if p != successor && p.owns {
			m.t.Fatalf("%s still believes that it owns the endpoint", p.name)
		}
	}
	successor.start()
	running := m.engine.Running()
	if running == 0 {
		m.t.Fatalf("the owner can't start a task")
	}
	m.round(successor, 60)
	if now := m.engine.Running(); now != running {
		m.t.Fatalf("%d of %d tasks still run", now, running)
	}
}

// round runs n steps of every placer, at intervals short enough for renewals.
func (m *model) round(successor *placer, n int) {
	for range n {
		for _, p := range m.placers {
			p.want = p == successor
			p.step()
		}
		m.timer.Advance(modelTerm / renewalsPerTerm / 2)
	}
}

// In a planned hand-over no task ends, and the next owner has the endpoint
// within half a term.
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
		if !b.owns || a.owns {
			t.Fatal("not handed over within half a term")
		}
		m.round(b, 20)
		if m.engine.Running() != tasks {
			t.Fatalf("%d of %d tasks run after the hand-over", m.engine.Running(), tasks)
		}
	})
}

// A paused owner that resumes after a takeover must not start a task.
func TestPausedOwnerIsFenced(t *testing.T) {
	m := newModel(nil, 2)
	m.faults = false
	a, b := m.placers[0], m.placers[1]
	m.round(a, 3)
	pass, err := a.ownership.Enter(a.epoch)
	if err != nil {
		t.Fatal(err)
	}
	m.timer.Advance(modelTerm)
	b.want = true
	for range 4 {
		b.step()
	}
	if !b.owns {
		t.Fatal("the successor doesn't own the endpoint after a term")
	}
	err = m.engine.Stop(context.Background(), stopOf(pass))
	if err == nil {
		t.Fatal("the endpoint accepted a call of the old owner")
	}
	a.step()
	if a.owns {
		t.Fatal("the old owner still believes that it owns the endpoint")
	}
	for _, e := range m.engine.Log().Events() {
		if e.Event == engine.Began {
			t.Fatal("a task was started")
		}
	}
}
