package config

import (
	"context"
	"time"

	"github.com/balsamford/balsamford/coord/store"
)

// stepPlatform applies a fault to the call of one number.
type stepPlatform struct {
	*store.Memory
	cell      *testCell
	step      int
	fault     fault
	race      func()
	calls     int
	downUntil time.Duration
	killed    bool
}

// before reports the failure of a call that doesn't reach the platform.
func (p *stepPlatform) before(ctx context.Context, op string) (hit bool, err error) {
	p.calls++
	hit = p.calls == p.step
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
			p.race()
		default:
		}
	}
	if p.killed || p.cell.timers.Boot() < p.downUntil {
		return hit, &store.UnavailableError{Op: op}
	}
	return hit, nil
}

// after reports the failure of a call that did reach the platform.
func (p *stepPlatform) after(hit bool, op string, err error) error {
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

func (p *stepPlatform) Get(ctx context.Context, table, key string) (store.Row, error) {
	hit, err := p.before(ctx, "get")
	if err != nil {
		return store.Row{}, err
	}
	row, err := p.Memory.Get(ctx, table, key)
	return row, p.after(hit, "get", err)
}

func (p *stepPlatform) Object(ctx context.Context, name string) ([]byte, error) {
	hit, err := p.before(ctx, "object")
	if err != nil {
		return nil, err
	}
	data, err := p.Memory.Object(ctx, name)
	return data, p.after(hit, "object", err)
}

func (p *stepPlatform) PutObject(ctx context.Context, name string, data []byte) error {
	hit, err := p.before(ctx, "put")
	if err != nil {
		return err
	}
	return p.after(hit, "put", p.Memory.PutObject(ctx, name, data))
}

func (p *stepPlatform) Commit(ctx context.Context, ops []store.Op) error {
	hit, err := p.before(ctx, "commit")
	if err != nil {
		return err
	}
	if hit && p.fault == faultLate {
		p.cell.timers.After(time.Second, func() { _ = p.Memory.Commit(context.Background(), ops) })
		return &store.UnavailableError{Op: "commit"}
	}
	return p.after(hit, "commit", p.Memory.Commit(ctx, ops))
}
