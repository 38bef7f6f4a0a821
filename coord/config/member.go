package config

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/wire"
)

const (
	// memberPrefix stands before the name in the key of a process's row.
	memberPrefix = "host/"
	// joinInterval is the time between two writes of a process's row.
	joinInterval = 30 * time.Second
	// rejoinInterval is the time between two writes if the roll has changed.
	rejoinInterval = 5 * time.Second
	// youth is how long after its start a process follows each change of the
	// roll at once, since a cell that starts has many.
	startupPeriod = 30 * time.Second
	// joinTerm is how long a process counts itself as listed, from when it
	// sent the write of its row, and so the longest outage of the platform
	// through which answers confirm its version.
	joinTerm = 90 * time.Minute
	// joinExpiry is how long a row has to stand unchanged before it is
	// deleted.
	joinExpiry = joinTerm + joinTerm/driftDivisor + time.Minute
)

// Ask is the message of a wire.VerbHead.
type Ask struct {
	// Join is the asker, if it can't write its own row and asks the peer to
	// do that.
	Join *Peer `cbor:"join,omitempty"`
	// Roll is the number of the roll that the asker has.
	Roll uint64 `cbor:"roll,omitempty"`
	// Question is put to a process that may publish. Its answer has nothing
	// else.
	Question *Question `cbor:"question,omitempty"`
}

// membership is whether the process is listed in the platform's table. A
// publisher asks all listed processes whether they have a version, so a read
// of the head confirms nothing unless the process was listed before it.
type membership struct {
	written      time.Duration // when the newest write of the row was sent
	listed       bool
	roll         uint64        // roll that the row says; 0 if none is known to be in it
	earliestRead time.Duration // reads sent before confirm nothing
}

// join writes the process's row if that is due, and reports whether it has to
// ask a peer to do it.
func (f *Follower) join(ctx context.Context) (needed bool) {
	if !f.joinDue() {
		return false
	}
	sent := f.timers.Boot()
	ctx, cancel := f.timeout(ctx, f.period)
	defer cancel()
	self := f.self()
	if writeMember(ctx, f.platform, self) != nil {
		return true
	}
	f.recordJoin(sent, self.List)
	return false
}

// joinVia asks a peer to write this process's row.
func (f *Follower) joinThroughPeer(ctx context.Context, p Peer) error {
	ctx, cancel := f.timeout(ctx, f.peerTimeout())
	defer cancel()
	sent := f.timers.Boot()
	self := f.self()
	var out Status
	if err := f.caller.Call(ctx, p.Address, wire.VerbHead, Ask{Join: &self}, &out); err != nil {
		return err
	}
	if out.Joined {
		f.recordJoin(sent, self.List)
	}
	return nil
}

func (f *Follower) self() Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Peer{Name: f.name, Zone: f.zone, Address: f.address, List: f.rollRead.roll.Number}
}

func (f *Follower) joinDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.left {
		return false
	}
	since := f.timers.Boot() - f.membership.written
	changed := f.membership.roll == 0 || since >= rejoinInterval || f.startingLocked()
	return !f.listedLocked() || since >= joinInterval || f.rollRead.roll.Number > f.membership.roll && changed
}

// joined counts a write of the row that was sent at that moment, said that
// roll, and was answered.
func (f *Follower) recordJoin(sent time.Duration, list uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.left {
		return
	}
	if !f.listedLocked() {
		f.membership.earliestRead = f.timers.Boot()
		f.hasConfirmation, f.readSinceListed = false, false
	}
	f.membership.roll = max(f.membership.roll, list)
	f.membership.written, f.membership.listed = max(sent, f.membership.written), true
}

func (f *Follower) startingLocked() bool { return f.timers.Boot()-f.started < startupPeriod }

func (f *Follower) listedLocked() bool {
	return f.membership.listed && f.timers.Boot()-f.membership.written <= joinTerm
}

// Leave takes the process off the list, so that no publish waits for it. It
// honours no keys from then on. A process that may publish does so no more
// and tells all others, who need no answer of it from then on. The error is
// the platform's.
func (f *Follower) Leave(ctx context.Context) error {
	f.mu.Lock()
	f.membership, f.hasConfirmation, f.left = membership{}, false, true
	f.mu.Unlock()
	var g errgroup.Group
	if f.writer {
		g.Go(func() error { f.sendFinal(ctx); return nil })
		g.Go(func() error { return f.leaveRoll(ctx) })
	}
	err := f.platform.Commit(ctx, []store.Op{{Table: Table, Key: memberPrefix + f.name, Expect: store.Any, Action: store.Delete}})
	return errors.Join(err, g.Wait())
}

func writeMember(ctx context.Context, platform Joiner, p Peer) error {
	value, err := json.Marshal(p)
	if err != nil {
		return &FormError{Key: memberPrefix + p.Name, Err: err}
	}
	return platform.Commit(ctx, []store.Op{{Table: Table, Key: memberPrefix + p.Name, Expect: store.Any, Value: value, Action: store.Put}})
}
