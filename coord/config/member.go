package config

import (
	"context"
	"encoding/json"
	"time"

	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/wire"
)

const (
	// memberPrefix stands before the name in the key of a process's row.
	memberPrefix = "host/"
	// joinInterval is the time between two writes of a process's row.
	joinInterval = 30 * time.Second
	// joinTerm is how long a process counts itself as listed, from when it
	// sent the write of its row.
	joinTerm = 90 * time.Second
	// joinExpiry is how long a row has to stand unchanged before it is
	// deleted.
	joinExpiry = 2 * joinTerm
)

// Ask is the message of a wire.VerbHead.
type Ask struct {
	// Join is the asker, if it can't write its own row and asks the peer to
	// do that.
	Join *Peer `cbor:"join,omitempty"`
}

// membership is whether the process is listed in the platform's table. A
// publisher asks all listed processes whether they have a version, so a read
// of the head confirms nothing unless the process was listed before it.
type membership struct {
	sent   time.Duration // when the newest write of the row was sent
	listed bool
	floor  time.Duration // reads sent before confirm nothing
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
	if writeMember(ctx, f.platform, f.self()) != nil {
		return true
	}
	f.joined(sent)
	return false
}

// joinVia asks a peer to write this process's row.
func (f *Follower) joinVia(ctx context.Context, p Peer) error {
	ctx, cancel := f.timeout(ctx, f.patience())
	defer cancel()
	sent := f.timers.Boot()
	self := f.self()
	var out Status
	if err := f.caller.Call(ctx, p.Address, wire.VerbHead, Ask{Join: &self}, &out); err != nil {
		return err
	}
	if out.Joined {
		f.joined(sent)
	}
	return nil
}

func (f *Follower) self() Peer { return Peer{Name: f.name, Zone: f.zone, Address: f.address} }

func (f *Follower) joinDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.left && (!f.listedLocked() || f.timers.Boot()-f.member.sent >= joinInterval)
}

// joined counts a write of the row that was sent at that moment and answered.
func (f *Follower) joined(sent time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.left {
		return
	}
	if !f.listedLocked() {
		f.member.floor = f.timers.Boot()
		f.counted = false
	}
	f.member.sent, f.member.listed = max(sent, f.member.sent), true
}

func (f *Follower) listedLocked() bool {
	return f.member.listed && f.timers.Boot()-f.member.sent <= joinTerm
}

// Leave takes the process off the list, so that no publish waits for it. It
// honours no keys from then on. The error is the platform's.
func (f *Follower) Leave(ctx context.Context) error {
	f.mu.Lock()
	f.member, f.counted, f.left = membership{}, false, true
	f.mu.Unlock()
	return f.platform.Commit(ctx, []store.Op{{Table: Table, Key: memberPrefix + f.name, Expect: store.Any, Action: store.Delete}})
}

func writeMember(ctx context.Context, platform Joiner, p Peer) error {
	value, err := json.Marshal(p)
	if err != nil {
		return &FormError{Key: memberPrefix + p.Name, Err: err}
	}
	return platform.Commit(ctx, []store.Op{{Table: Table, Key: memberPrefix + p.Name, Expect: store.Any, Value: value, Action: store.Put}})
}
