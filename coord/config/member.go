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
	// memberPrefix precedes the name in the key of a process's row.
	memberPrefix = "host/"
	// joinInterval is the time between two writes of a process's row.
	joinInterval = 30 * time.Second
	// rejoinInterval is the time between two writes after a change of the roll.
	rejoinInterval = 5 * time.Second
	// startupPeriod is how long after its start a process follows every change
	// of the roll at once. A cell that starts changes its roll often.
	startupPeriod = 30 * time.Second
	// joinTerm is how long a process counts itself as listed, from when it sent
	// the write of its row. It is therefore the longest outage of the platform
	// during which the writers can confirm its version.
	joinTerm = 90 * time.Minute
	// joinExpiry is how long a row has to be unchanged before it is deleted:
	// joinTerm, the clock drift over it, and a margin of a minute.
	joinExpiry = joinTerm + joinTerm/driftDivisor + time.Minute
)

// Ask is the message of wire.VerbHead. The reply is a Status.
type Ask struct {
	// Join is the sender, set if it can't write its own row and wants the peer
	// to write it.
	Join *Peer `cbor:"join,omitempty"`
	// Roll is the number of the roll that the sender has.
	Roll uint64 `cbor:"roll,omitempty"`
	// Question is for a writer. If it is set, the other fields are ignored and
	// the Status holds only the answer.
	Question *Question `cbor:"question,omitempty"`
}

// membership is whether the process is listed in the platform's table. A
// publisher waits for all listed processes to apply its version, so a read of
// the head confirms nothing unless the process was listed before it.
type membership struct {
	written      time.Duration // when the newest successful write of the row was sent
	listed       bool
	roll         uint64        // number of the roll in the row; 0 if none is known to be in it
	earliestRead time.Duration // reads sent earlier confirm nothing
}

// join writes the process's row if that is due. It returns true if the write
// failed and a peer has to be asked to make it.
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
	f.recordJoin(sent, self.Roll)
	return false
}

// joinThroughPeer asks a peer to write this process's row.
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
		f.recordJoin(sent, self.Roll)
	}
	return nil
}

func (f *Follower) self() Peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Peer{Name: f.name, Zone: f.zone, Address: f.address, Roll: f.rollRead.roll.Number}
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

// recordJoin records a successful write of the row, which was sent at that time
// and held that roll number.
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

// Leave removes the process from the list, so that no publish waits for it.
// From then on it accepts no keys. A writer also leaves the roll, must not
// publish any more, and sends all other processes its last answer, which they
// use in place of its answers. The error is the platform's.
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

func writeMember(ctx context.Context, platform Committer, p Peer) error {
	value, err := json.Marshal(p)
	if err != nil {
		return &FormError{Key: memberPrefix + p.Name, Err: err}
	}
	return platform.Commit(ctx, []store.Op{{Table: Table, Key: memberPrefix + p.Name, Expect: store.Any, Value: value, Action: store.Put}})
}
