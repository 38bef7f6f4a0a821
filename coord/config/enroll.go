package config

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/balsamford/balsamford/coord/store"
)

// maxEnrollTries limits the attempts to write the roll in one refresh, when
// other processes write it concurrently.
const maxEnrollTries = 4

// enroll puts a writer on the roll, unless it is on it already.
func (f *Follower) enroll(ctx context.Context) {
	if !f.writer || f.caller == nil {
		return
	}
	f.mu.Lock()
	due := !f.left && f.listedLocked() && (!f.enrolled || f.rollRead.roll.Number > 0 && !f.rollRead.roll.has(f.run))
	f.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := f.timeout(ctx, f.period)
	defer cancel()
	for range maxEnrollTries {
		if f.ensureOnRoll(ctx) {
			f.mu.Lock()
			f.enrolled, f.rollRead.due = true, 0
			f.mu.Unlock()
			return
		}
	}
}

// ensureOnRoll reports whether this run is certainly on the roll, and adds it
// if it isn't. If the reply to the write is lost, the next read shows whether
// the write took effect.
func (f *Follower) ensureOnRoll(ctx context.Context) bool {
	roll, row, err := readRoll(ctx, f.platform)
	if err != nil || roll.has(f.run) {
		return err == nil
	}
	next := roll.with(Writer{Name: f.name, Run: f.run, Address: f.address})
	return writeRoll(ctx, f.platform, next, row) == nil
}

// leaveRoll removes this run from the roll.
func (f *Follower) leaveRoll(ctx context.Context) error {
	roll, row, err := readRoll(ctx, f.platform)
	if err != nil || !roll.has(f.run) {
		return err
	}
	return writeRoll(ctx, f.platform, roll.without(func(w Writer) bool { return w.Run == f.run }), row)
}

// removeMember deletes a process's row, and its entries on the roll in the same
// transaction.
func removeMember(ctx context.Context, platform Committer, row store.Row) error {
	name := strings.TrimPrefix(row.Key, memberPrefix)
	roll, version, err := readRoll(ctx, platform)
	if err != nil {
		return err
	}
	ops := []store.Op{{Table: Table, Key: row.Key, Expect: row.Version, Action: store.Delete}}
	next := roll.without(func(w Writer) bool { return w.Name == name })
	if len(next.Writers) < len(roll.Writers) {
		value, err := json.Marshal(next)
		if err != nil {
			return &FormError{Key: KeyRoll, Err: err}
		}
		ops = append(ops, store.Op{Table: Table, Key: KeyRoll, Expect: version, Value: value, Action: store.Put})
	}
	return platform.Commit(ctx, ops)
}

func writeRoll(ctx context.Context, platform Committer, roll Roll, row uint64) error {
	value, err := json.Marshal(roll)
	if err != nil {
		return &FormError{Key: KeyRoll, Err: err}
	}
	return platform.Commit(ctx, []store.Op{{Table: Table, Key: KeyRoll, Expect: row, Value: value, Action: store.Put}})
}
