package config

import (
	"context"
	"slices"
	"time"
)

// allRolls stands for every roll, for a question that needs none.
const allRolls = ^uint64(0)

// rollInterval is the time between two readings of the roll.
const rollInterval = 2 * time.Second

// Roll is the list of the processes that answer for the configuration while
// the platform is away, the content of the row KeyRoll in JSON.
type Roll struct {
	Number  uint64   `json:"number" cbor:"number"` // goes up by one with each change; 0 if there never was a roll
	Writers []Writer `json:"writers" cbor:"writers"`
}

// has reports whether a run is on the roll.
func (r Roll) has(run string) bool {
	return slices.ContainsFunc(r.Writers, func(w Writer) bool { return w.Run == run })
}

// with returns the next roll, on which w stands in place of other runs of its
// name.
func (r Roll) with(w Writer) Roll {
	next := r.without(func(old Writer) bool { return old.Name == w.Name })
	w.Since = next.Number
	next.Writers = append(next.Writers, w)
	return next
}

// without returns the next roll, less those writers.
func (r Roll) without(gone func(Writer) bool) Roll {
	return Roll{Number: r.Number + 1, Writers: slices.DeleteFunc(slices.Clone(r.Writers), gone)}
}

// readRoll returns the roll and the version of its row, both 0 if there is
// none yet.
func readRoll(ctx context.Context, platform Reader) (Roll, uint64, error) {
	var roll Roll
	row, err := readRow(ctx, platform, KeyRoll, &roll)
	return roll, row, err
}

// heldRoll is the roll by which a process asks for answers.
type rollRead struct {
	roll Roll
	sent time.Duration // when the read was sent that returned it
	due  time.Duration // when it is to be read again
}

// readRoll reads the roll if that is due. It counts only once a head that was
// read after it is known, see learnRoll.
func (f *Follower) readRoll(ctx context.Context) (held rollRead, ok bool) {
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

// learnRoll takes a roll. The caller has taken a head before that was read
// after the roll, so that whoever goes by a roll knows all versions that were
// written before it. A roll from before this process was listed doesn't count,
// because an earlier process of the name may have gone by a newer one and have
// said so in its row.
func (f *Follower) learnRoll(held rollRead) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if held.sent < f.membership.earliestRead || held.roll.Number < f.rollRead.roll.Number {
		return
	}
	held.due = max(held.due, f.rollRead.due)
	f.rollRead = held
	for run := range f.finals {
		if !held.roll.has(run) {
			delete(f.finals, run)
		}
	}
}
