package config

import (
	"context"
	"errors"

	"github.com/balsamford/balsamford/coord/store"
)

// doubt is a publish of this process that may take effect at any time.
type doubt struct {
	open bool
	base uint64 // it can't take effect any more once there is a newer version
	roll uint64 // nor once there is a newer roll
	more bool   // there is an earlier one, which is over once this one is
}

// errNotOnRoll is why a process doesn't publish that has left or isn't on the roll.
var errNotOnRoll = errors.New("this process is not on the roll of writers")

// begin opens the doubt of a publish on that version, and returns the
// condition under which it may take effect. The error is an *UnpublishedError.
func (f *Follower) begin(ctx context.Context, id string, version uint64) (store.Op, error) {
	roll, row, err := readRoll(ctx, f.platform)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err == nil && (f.left || !roll.has(f.run)) {
		err = errNotOnRoll
	}
	if err != nil {
		return store.Op{}, &UnpublishedError{ID: id, Step: "roll", Err: err}
	}
	f.doubt = doubt{open: true, more: f.doubtfulLocked(), base: version, roll: roll.Number}
	return store.Op{Table: Table, Key: KeyRoll, Expect: row, Action: store.Check}, nil
}

// end closes the doubt if it is known how the publish ended: it took effect as
// that version, or nothing was sent. Otherwise the doubt stays open until a
// newer version or a newer roll was read.
func (f *Follower) end(version uint64, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var unpublished *UnpublishedError
	switch {
	case err == nil:
		f.top = max(f.top, version)
		f.doubt.open = false
	case errors.As(err, &unpublished):
		f.doubt.open = f.doubt.more
	}
}

// doubtfulLocked reports whether a publish of this process may still take
// effect unseen.
func (f *Follower) doubtfulLocked() bool {
	return f.doubt.open && f.top <= f.doubt.base && f.held.roll.Number <= f.doubt.roll
}
