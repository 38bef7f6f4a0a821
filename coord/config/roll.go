package config

import (
	"context"
	"slices"
	"time"
)

// allRolls, as Ask.Roll, requests no roll in the reply, since no roll has a
// higher number.
const allRolls = ^uint64(0)

// rollInterval is the time between two reads of the roll.
const rollInterval = 2 * time.Second

// Roll is the list of the processes that may publish and that confirm versions
// while the platform is unavailable. It is the value of the row KeyRoll, in
// JSON.
type Roll struct {
	Number  uint64   `json:"number" cbor:"number"` // incremented with each change; 0 if there has been no roll yet
	Writers []Writer `json:"writers" cbor:"writers"`
}

// has reports whether the roll lists that run.
func (r Roll) has(run string) bool {
	return slices.ContainsFunc(r.Writers, func(w Writer) bool { return w.Run == run })
}

// with returns the next roll, in which w replaces other runs of its name.
func (r Roll) with(w Writer) Roll {
	next := r.without(func(old Writer) bool { return old.Name == w.Name })
	w.Since = next.Number
	next.Writers = append(next.Writers, w)
	return next
}

// without returns the next roll, without the writers for which gone returns
// true.
func (r Roll) without(gone func(Writer) bool) Roll {
	return Roll{Number: r.Number + 1, Writers: slices.DeleteFunc(slices.Clone(r.Writers), gone)}
}

// readRoll returns the roll and the version of its row; both are zero if there
// is none yet.
func readRoll(ctx context.Context, platform Reader) (Roll, uint64, error) {
	var roll Roll
	row, err := readRow(ctx, platform, KeyRoll, &roll)
	return roll, row, err
}

// rollRead is the roll whose writers a process queries, and when it was read.
type rollRead struct {
	roll Roll
	sent time.Duration // when the read was sent that returned it
	due  time.Duration // when the next read is due
}

// readRoll reads the roll if that is due. The caller must pass the result to
// learnRoll only after it has handled a head that was read later.
func (f *Follower) readRoll(ctx context.Context) (got rollRead, ok bool) {
	sent := f.timers.Boot()
	f.mu.Lock()
	due := sent >= f.rollRead.due || f.startingLocked()
	f.mu.Unlock()
	if !due {
		return rollRead{}, false
	}
	f.counts.reads.Inc(1)
	roll, _, err := readRoll(ctx, f.platform)
	return rollRead{roll: roll, sent: sent, due: sent + rollInterval}, err == nil
}

// learnRoll adopts a roll that is at least as new as the current one. The
// caller must have handled a head that was read after the roll, so that a
// process that uses a roll knows all versions written before it. A roll read
// before this process was listed is ignored, because an earlier process of the
// same name may have used a newer one and have written its number into the row.
func (f *Follower) learnRoll(got rollRead) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if got.sent < f.membership.earliestRead || got.roll.Number < f.rollRead.roll.Number {
		return
	}
	got.due = max(got.due, f.rollRead.due)
	f.rollRead = got
	for run := range f.finals {
		if !got.roll.has(run) {
			delete(f.finals, run)
		}
	}
}
