package config

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/balsamford/balsamford/coord/audit"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
)

const (
	// retryDelay is the pause before an operation on the platform is retried.
	retryDelay = 100 * time.Millisecond
	// maxRebases limits how often an edit for AnyVersion is rebased on a newer
	// version after a conflict.
	maxRebases = 100
)

// Publisher writes new versions to the platform. Its methods may be called
// concurrently, and any number of processes may each have a Publisher.
type Publisher struct {
	platform   Platform
	timers     *timer.Service
	log        *zap.Logger
	trail      *audit.Log
	backlog    *audit.Backlog // audit records of edits that took no effect
	publishing chan struct{}  // semaphore of one: full during a publish

	mu   sync.Mutex // guards last
	last *Snapshot  // newest snapshot read or written; saves reading the base again
}

// AuditPlatform is the part of the platform that a Publisher uses, including
// the audit trail.
type AuditPlatform interface {
	Platform
	audit.Platform
}

// NewPublisher returns a Publisher that writes to platform p.
func NewPublisher(p AuditPlatform, timers *timer.Service, log *zap.Logger) *Publisher {
	trail := audit.New(p)
	return &Publisher{
		platform: p, timers: timers, log: log, trail: trail, backlog: audit.NewBacklog(trail), publishing: make(chan struct{}, 1),
	}
}

// base is the version that an edit is applied to.
type base struct {
	head     Head
	row      uint64 // version of the head row
	snap     *Snapshot
	accepted uint64
}

// Publish checks an edit and writes the result as the next version, with its
// audit record in the same transaction. Result.Unchanged is true if the edit
// changes nothing; no version is written then.
//
// The errors are: *InvalidError if the resulting set has faults; *ConflictError
// if another publish came first; *UsedError if the ID belongs to another
// recorded action; *UnpublishedError if the platform failed, or ctx ended,
// before anything took effect; *UnknownError if the outcome is unknown, because
// the platform's reply was lost and ctx ended before it could be looked up.
// After an *UnknownError the same edit may be published again with the same ID.
// Other errors are those of the platform's Commit.
//
// Edits are published one at a time, so that edits of one process don't
// conflict with each other.
func (p *Publisher) Publish(ctx context.Context, e *Edit) (Result, error) {
	select {
	case p.publishing <- struct{}{}:
	case <-ctx.Done():
		return Result{}, &UnpublishedError{ID: e.ID, Step: "turn", Err: ctx.Err()}
	}
	defer func() { <-p.publishing }()
	for attempt := 0; ; attempt++ {
		res, err := p.tryPublish(ctx, e)
		var conflict *ConflictError
		if errors.As(err, &conflict) && e.Base == AnyVersion && attempt < maxRebases {
			continue
		}
		if errors.As(err, &conflict) {
			p.record(ctx, e, audit.Conflict, conflict.Base, conflict.Yours, "version "+number(float64(conflict.Head.Version))+" came first")
		}
		return res, err
	}
}

// Preview returns the changes that publishing the edit would make, and
// warnings, without publishing it. The errors are *InvalidError and
// *UnpublishedError.
func (p *Publisher) Preview(ctx context.Context, e *Edit) (Result, error) {
	b, err := p.readBase(ctx)
	if err != nil {
		return Result{}, &UnpublishedError{ID: e.ID, Step: "read", Err: err}
	}
	next, warnings, err := b.next(e)
	if err != nil {
		return Result{}, err
	}
	return Result{Head: b.head, Changes: Compare(b.set(), next), Warnings: warnings}, nil
}

// tryPublish makes one attempt to publish e. The error is a *ConflictError if
// another publish came first.
func (p *Publisher) tryPublish(ctx context.Context, e *Edit) (Result, error) {
	b, err := p.readBase(ctx)
	if err != nil {
		return Result{}, &UnpublishedError{ID: e.ID, Step: "read", Err: err}
	}
	if done, res, err := p.findEarlier(ctx, e); done || err != nil {
		return res, err
	}
	if e.Base != AnyVersion && e.Base != b.head.Version {
		return Result{}, p.conflict(ctx, e, b)
	}
	next, warnings, err := b.next(e)
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		p.record(ctx, e, audit.Refused, b.head.Version, nil, invalid.Error())
	}
	if err != nil {
		return Result{}, err
	}
	res := Result{Head: b.head, Changes: Compare(b.set(), next), Warnings: warnings, Unchanged: true}
	if len(res.Changes) == 0 && b.head.Version > 0 {
		p.record(ctx, e, audit.Unchanged, b.head.Version, nil, "")
		res.Published = p.timers.Boot()
		return res, nil
	}
	snap := NewSnapshot(b.head.Version+1, next)
	if err := p.putObjects(ctx, b, snap); err != nil {
		return Result{}, &UnpublishedError{ID: e.ID, Step: "object", Err: err}
	}
	res.Head, res.Unchanged = b.newHead(e, snap), false
	err = p.commit(ctx, e, b, res)
	var row *store.ConflictError
	if errors.As(err, &row) {
		return p.resolveConflict(ctx, e, b)
	}
	if err != nil {
		return Result{}, err
	}
	res.Published, res.snap = p.timers.Boot(), snap
	p.cacheSnapshot(snap)
	return res, nil
}

// putObjects writes the content of a version, and the change from its base, so
// that followers that have the base don't need to read the whole set.
func (p *Publisher) putObjects(ctx context.Context, b base, snap *Snapshot) error {
	if b.snap != nil {
		change, err := json.Marshal(changeBetween(b.snap, snap))
		if err != nil {
			return err
		}
		if err := p.platform.PutObject(ctx, ChangeName(b.head.Digest, snap.Digest()), change); err != nil {
			return err
		}
	}
	return p.platform.PutObject(ctx, ObjectName(snap.Digest()), snap.Data())
}

// commit writes the head and the audit record in one transaction, and retries
// while the platform is unavailable or its reply is lost. All attempts have the
// same condition, so at most one of them takes effect, however late it arrives.
// The error is a *store.ConflictError, an *UnpublishedError, an *UnknownError
// or another error of the platform.
func (p *Publisher) commit(ctx context.Context, e *Edit, b base, res Result) error {
	value, err := json.Marshal(res.Head)
	if err != nil {
		return &UnpublishedError{ID: e.ID, Step: "commit", Err: err}
	}
	record := e.record(p.timers.Now(), audit.Accepted, b.head.Version, res.Changes)
	record.Version = res.Head.Version
	ops := []store.Op{
		{Table: Table, Key: KeyHead, Expect: b.row, Value: value, Action: store.Put},
		{Table: Table, Key: VersionKey(res.Head.Version), Value: value, Action: store.Put},
		p.trail.Op(record),
	}
	sent := false
	for {
		err := p.platform.Commit(ctx, ops)
		var lost *store.UnavailableError
		if !errors.As(err, &lost) {
			return err
		}
		sent = sent || !lost.Unsent
		p.log.Warn("commit of a version not confirmed", zap.String("publish", e.ID), zap.Error(err))
		if p.timers.Sleep(ctx, retryDelay) == nil {
			continue
		}
		if !sent {
			return &UnpublishedError{ID: e.ID, Step: "commit", Err: err}
		}
		return &UnknownError{ID: e.ID, Err: err}
	}
}

// cacheSnapshot keeps s as the base of the next publish if it is the newest
// one.
func (p *Publisher) cacheSnapshot(s *Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == nil || p.last.Version() < s.Version() {
		p.last = s
	}
}
