package store

import "context"

// beginRead counts a read and applies the faults that affect it.
func (m *Memory) beginRead(ctx context.Context, op string) error {
	m.counts.reads.Inc(1)
	return m.applyCallFaults(ctx, op)
}

// applyWrite counts a write and calls effect as the injected faults demand: at
// once, later or not at all. It returns the error of effect, or an
// *UnavailableError if a fault affected the write.
func (m *Memory) applyWrite(ctx context.Context, op string, effect func() error) error {
	m.counts.writes.Inc(1)
	if err := m.applyCallFaults(ctx, op); err != nil {
		return err
	}
	faults, fault := m.nextWriteFault()
	switch fault {
	case writeFaultDrop:
		return m.unavailable(op, nil)
	case writeFaultDelay:
		m.timer.After(faults.Late, func() { _ = effect() })
		return m.unavailable(op, nil)
	case writeFaultLoseResponse:
		_ = effect()
		return m.unavailable(op, nil)
	default:
		return effect()
	}
}

// writeFault is the fault that is injected into one write.
type writeFault int

const (
	writeFaultNone         writeFault = iota
	writeFaultDrop                    // no effect
	writeFaultDelay                   // takes effect later; the call fails at once
	writeFaultLoseResponse            // takes effect; the call fails
)

// nextWriteFault returns the fault for the next write and decrements the counter
// that caused it. Drop takes precedence over Next, Late and Lose, in this order.
func (m *Memory) nextWriteFault() (Faults, writeFault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.faults
	switch {
	case f.Drop > 0:
		m.faults.Drop--
		return f, writeFaultDrop
	case f.Next > 0:
		m.faults.Next--
		return f, writeFaultLoseResponse
	case f.Late > 0:
		return f, writeFaultDelay
	case f.Lose:
		return f, writeFaultLoseResponse
	}
	return f, writeFaultNone
}

// applyCallFaults applies the faults Slow and Down, which affect reads and writes.
func (m *Memory) applyCallFaults(ctx context.Context, op string) error {
	if err := ctx.Err(); err != nil {
		m.counts.unavailable.Inc(1)
		return &UnavailableError{Op: op, Unsent: true, Err: err}
	}
	if slow := m.Faults().Slow; slow > 0 {
		if err := m.timer.Sleep(ctx, slow); err != nil {
			return m.unavailable(op, err)
		}
	}
	if m.Faults().Down {
		return m.unavailable(op, nil)
	}
	return nil
}

// unavailable counts and returns an *UnavailableError.
func (m *Memory) unavailable(op string, err error) error {
	m.counts.unavailable.Inc(1)
	return &UnavailableError{Op: op, Err: err}
}
