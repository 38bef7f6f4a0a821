package store

import "context"

// read passes the fault switches in front of a read.
func (m *Memory) read(ctx context.Context, op string) error {
	m.counts.reads.Inc(1)
	return m.pass(ctx, op)
}

// write passes the fault switches around a write. The answer of effect is
// returned only if it isn't lost.
func (m *Memory) write(ctx context.Context, op string, effect func() error) error {
	m.counts.writes.Inc(1)
	if err := m.pass(ctx, op); err != nil {
		return err
	}
	f, fate := m.draw()
	switch fate {
	case fateDrop:
		return m.lost(op, nil)
	case fateLate:
		m.timer.After(f.Late, func() { _ = effect() })
		return m.lost(op, nil)
	case fateLose:
		_ = effect()
		return m.lost(op, nil)
	default:
		return effect()
	}
}

// fate is what the fault switches do to one write.
type fate int

const (
	fateWell fate = iota
	fateDrop
	fateLate
	fateLose
)

// draw returns what becomes of the next write and counts the switches down.
func (m *Memory) draw() (Faults, fate) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.faults
	switch {
	case f.Drop > 0:
		m.faults.Drop--
		return f, fateDrop
	case f.Next > 0:
		m.faults.Next--
		return f, fateLose
	case f.Late > 0:
		return f, fateLate
	case f.Lose:
		return f, fateLose
	}
	return f, fateWell
}

func (m *Memory) pass(ctx context.Context, op string) error {
	if err := ctx.Err(); err != nil {
		m.counts.lost.Inc(1)
		return &UnavailableError{Op: op, Unsent: true, Err: err}
	}
	if slow := m.Faults().Slow; slow > 0 {
		if err := m.timer.Sleep(ctx, slow); err != nil {
			return m.lost(op, err)
		}
	}
	if m.Faults().Down {
		return m.lost(op, nil)
	}
	return nil
}

func (m *Memory) lost(op string, err error) error {
	m.counts.lost.Inc(1)
	return &UnavailableError{Op: op, Err: err}
}
