package config

import (
	"context"
	"errors"

	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/store"
)

// findEarlier looks up an earlier publish with the edit's ID. done is true if
// it took effect. The error is a *UsedError, an *UnpublishedError or an
// *UnknownError.
func (p *Publisher) findEarlier(ctx context.Context, e *Edit) (done bool, res Result, err error) {
	r, err := p.trail.Record(ctx, e.ID)
	var missing *store.MissingError
	if errors.As(err, &missing) {
		return false, Result{}, nil
	}
	if err != nil {
		return false, Result{}, &UnpublishedError{ID: e.ID, Step: "read", Err: err}
	}
	if r.Verdict != audit.Accepted {
		return false, Result{}, &UsedError{ID: e.ID, Verdict: r.Verdict}
	}
	res, err = p.earlierResult(ctx, r)
	res.Again = true
	return true, res, err
}

// earlierResult returns the result of an earlier attempt from its audit record.
func (p *Publisher) earlierResult(ctx context.Context, r audit.Record) (Result, error) {
	res := Result{Published: p.timers.Boot()}
	for _, c := range r.Changes {
		res.Changes = append(res.Changes, Difference{Ref: ParseRef(c.Object), Old: c.Old, New: c.New})
	}
	for {
		head, err := readVersion(ctx, p.platform, r.Version)
		if err == nil {
			res.Head = head
			return res, nil
		}
		if p.timers.Sleep(ctx, retryDelay) != nil {
			return Result{}, &UnknownError{ID: r.ID, Err: err}
		}
	}
}

// resolveConflict determines why the condition of a commit failed: either an
// earlier attempt of the same publish took effect, or another publish came
// first.
func (p *Publisher) resolveConflict(ctx context.Context, e *Edit, b base) (Result, error) {
	for {
		r, err := p.trail.Record(ctx, e.ID)
		var missing *store.MissingError
		switch {
		case err == nil && r.Verdict == audit.Accepted:
			return p.earlierResult(ctx, r)
		case err == nil:
			return Result{}, &UsedError{ID: e.ID, Verdict: r.Verdict}
		case errors.As(err, &missing):
			return Result{}, p.conflict(ctx, e, b)
		}
		if p.timers.Sleep(ctx, retryDelay) != nil {
			return Result{}, &UnknownError{ID: e.ID, Err: err}
		}
	}
}

// conflict returns a *ConflictError with the edit's changes and those of the
// versions published since its base.
func (p *Publisher) conflict(ctx context.Context, e *Edit, b base) error {
	out := &ConflictError{Base: b.head.Version, Head: b.head}
	if e.Base != AnyVersion {
		out.Base = e.Base
	}
	if next, faults := e.apply(b.set()); len(faults) == 0 {
		out.Yours = Compare(b.set(), next)
	}
	now, err := p.readBase(ctx)
	if err != nil {
		return out
	}
	out.Head = now.head
	if e.Base == AnyVersion || e.Base == b.head.Version {
		out.Theirs = Compare(b.set(), now.set())
		return out
	}
	out.Theirs = p.changesSince(ctx, e.Base, now)
	return out
}
