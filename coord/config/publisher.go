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
	// retryDelay is the pause before a write is tried again whose answer was
	// lost.
	retryDelay = 100 * time.Millisecond
	// rebases is how often an edit without a base is made again on a newer
	// version.
	maxRebases = 100
)

// Publisher writes new versions to the platform. All methods may be called
// concurrently, and any number of processes may have one.
type Publisher struct {
	platform   Platform
	timers     *timer.Service
	log        *zap.Logger
	trail      *audit.Log
	backlog    *audit.Backlog // of records of edits that took no effect
	publishing chan struct{}  // full while an edit is being published

	mu   sync.Mutex // guards last
	last *Snapshot  // spares the reading of a base
}

// AuditPlatform is what a Publisher needs of the platform, the trail
// included.
type AuditPlatform interface {
	Platform
	audit.Platform
}

// NewPublisher returns a Publisher on a platform.
func NewPublisher(p AuditPlatform, timers *timer.Service, log *zap.Logger) *Publisher {
	trail := audit.New(p)
	return &Publisher{
		platform: p, timers: timers, log: log, trail: trail, backlog: audit.NewBacklog(trail), publishing: make(chan struct{}, 1),
	}
}

// base is the version that a publish starts from.
type base struct {
	head     Head
	row      uint64 // version of the head's row
	snap     *Snapshot
	accepted uint64
}

// Publish checks an edit and writes it as the next version, together with its
// audit record. The errors are: *InvalidError, the set is wrong; *ConflictError,
// another publish came first; *UnpublishedError, the platform didn't answer and
// nothing took effect; *UnknownError, the platform's answer was lost and ctx
// ended before it could be asked what it was. After an *UnknownError the same
// edit may be published again under its id.
//
// Edits go one after another, so that those of one process don't conflict.
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

// Preview returns what the edit would change, and warnings, without
// publishing it. Its errors are those of Publish.
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

// putObjects writes the content of a version, and the change that leads to it
// from its base, which spares followers the whole.
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

// commit writes the head and the record together and tries again while the
// answer is lost. Each try has the same condition, so that only one can take
// effect, however late. The error is a *store.ConflictError, an
// *UnpublishedError or an *UnknownError.
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
		p.log.Warn("publish not answered", zap.String("publish", e.ID), zap.Error(err))
		if p.timers.Sleep(ctx, retryDelay) == nil {
			continue
		}
		if !sent {
			return &UnpublishedError{ID: e.ID, Step: "commit", Err: err}
		}
		return &UnknownError{ID: e.ID, Err: err}
	}
}

func (p *Publisher) cacheSnapshot(s *Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.last == nil || p.last.Version() < s.Version() {
		p.last = s
	}
}
