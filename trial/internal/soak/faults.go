package soak

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
)

// maker makes faults, some of them at the same time.
type maker struct {
	rig  *rig
	rand *rand.Rand
}

// fault is one kind of fault. It is drawn before it is made, so that the draws of a seed
// don't depend on how long faults take; the returned function makes it.
type fault func(m *maker) func()

// kinds returns the faults that are drawn from.
func (m *maker) kinds() []fault {
	return []fault{
		(*maker).killHost, (*maker).pauseHost, (*maker).stopHost, (*maker).reloadHost, (*maker).killAll,
		(*maker).cutStore, (*maker).cutStore, (*maker).cutExecutor, (*maker).cutExecutor,
		(*maker).storeDown, (*maker).storeSlow, (*maker).storeLoses, (*maker).storeLate, (*maker).storeForgets,
		(*maker).restartExecutor, (*maker).breakExecutor, (*maker).lateExecutor, (*maker).configure, (*maker).configure,
	}
}

// run makes faults until ctx ends, and waits for those that are under way.
func (m *maker) run(ctx context.Context) error {
	var g errgroup.Group
	kinds := m.kinds()
	for ctx.Err() == nil {
		f := kinds[m.rand.IntN(len(kinds))](m)
		pause := m.between(100, 1200)
		g.Go(func() error { f(); return nil })
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return g.Wait()
}

func (m *maker) between(least, most int) time.Duration {
	return time.Duration(least+m.rand.IntN(most-least)) * time.Millisecond
}

func (m *maker) host() *host { return m.rig.hosts[m.rand.IntN(len(m.rig.hosts))] }

func (m *maker) executor() *executor {
	return m.rig.executors[m.rand.IntN(len(m.rig.executors))]
}

// check notes a process that couldn't be handled, which is no fault of its own.
func (m *maker) check(what string, err error) {
	if err != nil {
		m.rig.ledger.event("%s: %v", what, err)
	}
}

func (m *maker) killHost() func() {
	h, pause := m.host(), m.between(0, 1500)
	return func() {
		m.rig.ledger.event("%s is killed for %v", h.name, pause)
		m.check("start", h.kill(pause))
	}
}

func (m *maker) pauseHost() func() {
	h, d := m.host(), m.between(200, 4000)
	return func() {
		m.rig.ledger.event("%s is paused for %v", h.name, d)
		m.check("pause", h.pause(d))
	}
}

func (m *maker) stopHost() func() {
	h := m.host()
	return func() {
		m.rig.ledger.event("%s is stopped", h.name)
		fault, err := h.restart()
		if fault != "" {
			m.rig.ledger.fault("%s: %s", h.name, fault)
		}
		m.check("start", err)
	}
}

func (m *maker) reloadHost() func() {
	h, signal := m.host(), m.rand.IntN(2) == 0
	return func() {
		m.rig.ledger.event("settings of %s change", h.name)
		m.check("reload", h.reload(signal))
	}
}

func (m *maker) killAll() func() {
	pause := m.between(0, 1000)
	return func() {
		m.rig.ledger.event("all hosts are killed for %v", pause)
		var g errgroup.Group
		for _, h := range m.rig.hosts {
			g.Go(func() error { return h.kill(pause) })
		}
		m.check("start", g.Wait())
	}
}

func (m *maker) mode() Mode { return Mode(1 + m.rand.IntN(int(OneWay))) }

func (m *maker) cutStore() func() {
	h, mode, d := m.host(), m.mode(), m.between(300, 5000)
	return func() {
		m.rig.ledger.event("store of %s: %v for %v", h.name, mode, d)
		h.store.Set(mode)
		time.Sleep(d)
		h.store.Set(Pass)
	}
}

func (m *maker) cutExecutor() func() {
	e, mode, d := m.executor(), m.mode(), m.between(300, 7000)
	return func() {
		m.rig.ledger.event("executor %s: %v for %v", e.id, mode, d)
		e.proxy.Set(mode)
		time.Sleep(d)
		e.proxy.Set(Pass)
	}
}

func (m *maker) storeDown() func() {
	d := m.between(300, 4000)
	return func() {
		m.rig.ledger.event("store down for %v", d)
		m.rig.store.SetDown(true)
		time.Sleep(d)
		m.rig.store.SetDown(false)
	}
}

func (m *maker) storeSlow() func() {
	d, slow := m.between(500, 4000), m.between(50, 400)
	return func() {
		m.rig.ledger.event("store slow by %v for %v", slow, d)
		m.rig.store.SetSlow(slow)
		time.Sleep(d)
		m.rig.store.SetSlow(0)
	}
}

func (m *maker) storeLoses() func() {
	d := m.between(200, 1500)
	return func() {
		m.rig.ledger.event("store loses answers for %v", d)
		m.rig.store.SetLose(true)
		time.Sleep(d)
		m.rig.store.SetLose(false)
	}
}

func (m *maker) storeLate() func() {
	d, late := m.between(500, 4000), m.between(500, 4000)
	return func() {
		m.rig.ledger.event("store late by %v for %v", late, d)
		m.rig.store.SetLate(late)
		time.Sleep(d)
		m.rig.store.SetLate(0)
	}
}

func (m *maker) storeForgets() func() {
	return func() {
		m.rig.ledger.event("store forgets its history")
		m.rig.store.Forget()
	}
}

func (m *maker) restartExecutor() func() {
	e := m.executor()
	return func() {
		m.rig.ledger.event("executor %s is restarted", e.id)
		e.fake.Restart()
		m.rig.register(e)
	}
}

func (m *maker) breakExecutor() func() {
	e, d := m.executor(), m.between(500, 4000)
	return func() {
		m.rig.ledger.event("executor %s fails all for %v", e.id, d)
		e.fake.SetBroken(true)
		time.Sleep(d)
		e.fake.SetBroken(false)
	}
}

func (m *maker) lateExecutor() func() {
	e, d, late := m.executor(), m.between(500, 4000), m.between(300, 3000)
	return func() {
		m.rig.ledger.event("executor %s is late by %v for %v", e.id, late, d)
		e.fake.SetLate(late)
		time.Sleep(d)
		e.fake.SetLate(0)
	}
}

func (m *maker) configure() func() {
	return func() { m.rig.ledger.event("configuration %d", m.rig.publish()) }
}
