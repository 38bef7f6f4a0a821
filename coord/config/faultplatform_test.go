package config

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/coord/store"
)

// faultPlatform applies a fault to the call of the platform whose number,
// counted from 1, is faultyCall.
type faultPlatform struct {
	*store.Memory
	cell       *testCell
	faultyCall int
	fault      fault
	onRace     func()
	calls      int
	downUntil  time.Duration
	killed     bool
}

// beforeCall counts a call. hit is true if the fault applies to it. The error
// is that of a call that doesn't reach the platform.
func (p *faultPlatform) beforeCall(ctx context.Context, op string) (hit bool, err error) {
	p.calls++
	hit = p.calls == p.faultyCall
	if hit {
		switch p.fault {
		case faultDown:
			p.downUntil = p.cell.timers.Boot() + time.Second
		case faultLong:
			p.downUntil = p.cell.timers.Boot() + time.Hour
		case faultSlow:
			if err := p.cell.timers.Sleep(ctx, time.Second); err != nil {
				return hit, &store.UnavailableError{Op: op, Err: err}
			}
		case faultKilled:
			p.killed = true
		case faultRace:
			p.onRace()
		default:
		}
	}
	if p.killed || p.cell.timers.Boot() < p.downUntil {
		return hit, &store.UnavailableError{Op: op}
	}
	return hit, nil
}

// afterCall returns the error of a call that reached the platform, whose reply
// the fault may lose.
func (p *faultPlatform) afterCall(hit bool, op string, err error) error {
	if !hit {
		return err
	}
	switch p.fault {
	case faultLost:
		return &store.UnavailableError{Op: op}
	case faultAfter:
		p.killed = true
		return &store.UnavailableError{Op: op}
	default:
		return err
	}
}

func (p *faultPlatform) Get(ctx context.Context, table, key string) (store.Row, error) {
	hit, err := p.beforeCall(ctx, "get")
	if err != nil {
		return store.Row{}, err
	}
	row, err := p.Memory.Get(ctx, table, key)
	return row, p.afterCall(hit, "get", err)
}

func (p *faultPlatform) Object(ctx context.Context, name string) ([]byte, error) {
	hit, err := p.beforeCall(ctx, "object")
	if err != nil {
		return nil, err
	}
	data, err := p.Memory.Object(ctx, name)
	return data, p.afterCall(hit, "object", err)
}

func (p *faultPlatform) PutObject(ctx context.Context, name string, data []byte) error {
	hit, err := p.beforeCall(ctx, "put")
	if err != nil {
		return err
	}
	return p.afterCall(hit, "put", p.Memory.PutObject(ctx, name, data))
}

func (p *faultPlatform) Commit(ctx context.Context, ops []store.Op) error {
	hit, err := p.beforeCall(ctx, "commit")
	if err != nil {
		return err
	}
	if hit && p.fault == faultLate {
		p.cell.timers.After(time.Second, func() { _ = p.Memory.Commit(context.Background(), ops) })
		return &store.UnavailableError{Op: "commit"}
	}
	return p.afterCall(hit, "commit", p.Memory.Commit(ctx, ops))
}
