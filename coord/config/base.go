package config

import (
	"context"

	"github.com/balsamford/balsamford/coord/audit"
)

// readBase reads the newest version and the newest one known to be in force
// everywhere.
func (p *Publisher) readBase(ctx context.Context) (base, error) {
	head, row, err := readHead(ctx, p.platform)
	if err != nil {
		return base{}, err
	}
	b := base{head: head, row: row}
	if head.Version == 0 {
		return b, nil
	}
	if b.accepted, _, err = readAccepted(ctx, p.platform); err != nil {
		return base{}, err
	}
	p.mu.Lock()
	last := p.last
	p.mu.Unlock()
	if last != nil && last.Version() == head.Version && last.Digest() == head.Digest {
		b.snap = last
		return b, nil
	}
	if b.snap, err = readSnapshot(ctx, p.platform, head); err != nil {
		return base{}, err
	}
	p.cacheSnapshot(b.snap)
	return b, nil
}

// set returns the base's objects.
func (b base) set() *Set {
	if b.snap == nil {
		return NewSet()
	}
	return b.snap.Set()
}

// next applies e to the base and checks the result. It returns the warnings;
// the error is an *InvalidError.
func (b base) next(e *Edit) (*Set, []Fault, error) {
	next, faults := e.apply(b.set())
	faults = append(faults, next.Check()...)
	if errs := Errors(faults); len(errs) > 0 {
		return nil, nil, &InvalidError{Faults: faults}
	}
	return next, faults, nil
}

// newHead returns the head of snap as the version after b. Hosts may still have
// applied any version since the newest that is known to be in force, so Older
// carries the longest grace of those.
func (b base) newHead(e *Edit, snap *Snapshot) Head {
	older := b.head.Grace
	if b.accepted < b.head.Version {
		older = max(older, b.head.Older)
	}
	return Head{
		Version: snap.Version(), Digest: snap.Digest(), Base: b.head.Digest,
		Author: e.Author, Publish: e.ID, Grace: snap.Grace(), Older: older,
	}
}

// changesSince returns the changes from an older version to now, or nil if the
// older one can't be read.
func (p *Publisher) changesSince(ctx context.Context, version uint64, now base) []Difference {
	snap, err := p.Version(ctx, version)
	if err != nil {
		return nil
	}
	return Compare(snap.Set(), now.set())
}

// Version returns the snapshot of any version; version 0 is the empty one. The
// errors are *MissingVersionError, *FormError, those of Load and those of the
// platform.
func (p *Publisher) Version(ctx context.Context, version uint64) (*Snapshot, error) {
	head, err := readVersion(ctx, p.platform, version)
	if err != nil {
		return nil, err
	}
	if head.Version == 0 && version > 0 {
		return nil, &MissingVersionError{Version: version}
	}
	return readSnapshot(ctx, p.platform, head)
}

// Versions returns the heads of at most most versions, newest first. The errors
// are *FormError and those of the platform.
func (p *Publisher) Versions(ctx context.Context, most int) ([]Head, error) {
	head, _, err := readHead(ctx, p.platform)
	if err != nil {
		return nil, err
	}
	out := make([]Head, 0, most)
	for v := head.Version; v > 0 && len(out) < most; v-- {
		h, err := readVersion(ctx, p.platform, v)
		if err != nil {
			return nil, err
		}
		out = append(out, h)
	}
	return out, nil
}

// Refuse writes the audit record of an edit that was refused because its
// objects could not be parsed.
func (p *Publisher) Refuse(ctx context.Context, e *Edit, faults []Fault) {
	p.record(ctx, e, audit.Refused, 0, nil, (&InvalidError{Faults: faults}).Error())
}

// Newest returns the newest version. Before the first publish that is version
// 0, without objects.
func (p *Publisher) Newest(ctx context.Context) (Head, *Snapshot, error) {
	b, err := p.readBase(ctx)
	if err != nil {
		return Head{}, nil, err
	}
	if b.snap == nil {
		b.snap = NewSnapshot(0, NewSet())
	}
	return b.head, b.snap, nil
}

// Backlog returns the audit records that have not been written yet. The owner
// of the Publisher has to flush it from time to time.
func (p *Publisher) Backlog() *audit.Backlog { return p.backlog }

// record writes the audit record of an edit that took no effect, or adds it to
// the backlog while the platform is unavailable. The backlog is lost with the
// process; records of accepted changes are not, since they are written with the
// change.
func (p *Publisher) record(ctx context.Context, e *Edit, v audit.Verdict, base uint64, changes []Difference, detail string) {
	r := e.record(p.timers.Now(), v, base, changes)
	r.ID, r.Detail = audit.NewID(p.timers.Now()), detail
	if err := p.backlog.Write(ctx, r); err != nil {
		p.log.Warn("audit record not written, kept in the backlog")
	}
}
