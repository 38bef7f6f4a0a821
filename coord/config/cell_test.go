package config

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

// testCell is a platform and followers that call each other directly, on manual
// time.
type testCell struct {
	timers      *timer.Service
	platform    *store.Memory
	followers   map[string]*Follower
	peers       []Peer
	cut         map[string]bool // hosts that reach only each other, and not the platform
	partitioned map[string]bool // hosts that reach only each other, and the platform
	noPlatform  map[string]bool // hosts that can't reach the platform
	lostCalls   map[string]bool // verbs whose calls are lost; "ask" for Questions to writers
	replyDelay  time.Duration   // delay of every reply of a peer
	hungAddress string          // address that accepts calls and never replies
	paused      string          // host that is paused
}

func newTestCell() *testCell {
	c := &testCell{
		timers:      timer.New(timer.WithManual(time.Unix(0, 0))),
		followers:   make(map[string]*Follower),
		cut:         make(map[string]bool),
		partitioned: make(map[string]bool),
		noPlatform:  make(map[string]bool),
	}
	c.platform = store.New(store.WithTimer(c.timers))
	c.timers.Advance(time.Hour)
	return c
}

// start starts a follower, replacing an earlier one of that name.
func (c *testCell) start(name, zone string, opts ...Option) *Follower {
	if c.followers[name] == nil {
		c.peers = append(c.peers, Peer{Name: name, Zone: zone, Address: name})
	}
	roster := RosterFunc(func() []Peer { return c.peers })
	opts = append([]Option{WithPeers(roster, &testCaller{cell: c, from: name}, name)}, opts...)
	f := NewFollower(name, zone, &testReader{cell: c, name: name}, c.timers, opts...)
	c.followers[name] = f
	return f
}

// testReader is the platform as seen from one host.
type testReader struct {
	cell *testCell
	name string
}

func (r *testReader) Get(ctx context.Context, table, key string) (store.Row, error) {
	if r.cell.cut[r.name] || r.cell.noPlatform[r.name] {
		return store.Row{}, &store.UnavailableError{Op: "get"}
	}
	return r.cell.platform.Get(ctx, table, key)
}

func (r *testReader) Commit(ctx context.Context, ops []store.Op) error {
	if r.cell.cut[r.name] || r.cell.noPlatform[r.name] {
		return &store.UnavailableError{Op: "commit"}
	}
	return r.cell.platform.Commit(ctx, ops)
}

func (r *testReader) Scan(ctx context.Context, table, prefix string) ([]store.Row, error) {
	if r.cell.cut[r.name] || r.cell.noPlatform[r.name] {
		return nil, &store.UnavailableError{Op: "scan"}
	}
	return r.cell.platform.Scan(ctx, table, prefix)
}

func (r *testReader) Object(ctx context.Context, name string) ([]byte, error) {
	if r.cell.cut[r.name] || r.cell.noPlatform[r.name] {
		return nil, &store.UnavailableError{Op: "object"}
	}
	return r.cell.platform.Object(ctx, name)
}

// testCaller calls other followers of the cell directly, subject to its faults.
type testCaller struct {
	cell *testCell
	from string
}

func (c *testCaller) Call(ctx context.Context, address, verb string, in, out any) error {
	f := c.cell.followers[address]
	if f == nil || c.cell.paused == address || c.cell.cut[address] != c.cell.cut[c.from] || c.cell.partitioned[address] != c.cell.partitioned[c.from] {
		return &link.DialError{Address: address, Err: &link.CutError{Address: address}}
	}
	kind := verb
	if ask, ok := in.(Ask); ok && ask.Question != nil {
		kind = "ask"
	}
	if c.cell.lostCalls[kind] {
		return &link.StreamError{Op: "receive"}
	}
	if c.cell.hungAddress == address {
		<-ctx.Done()
		return &link.StreamError{Op: "receive", Err: ctx.Err()}
	}
	switch verb {
	case wire.VerbHead:
		*out.(*Status) = f.handleHead(ctx, in.(Ask))
	case wire.VerbTell:
		f.handleTell(ctx, in.(Announcement))
		*out.(*Status) = f.Status()
	case wire.VerbFetch:
		*out.(*Content) = f.handleFetch(in.(Fetch))
	}
	c.cell.timers.Advance(c.cell.replyDelay)
	return nil
}

// write writes a version to the platform without a Publisher's checks.
func (c *testCell) write(t *testing.T, version uint64, set *Set) Head {
	t.Helper()
	is := is.New(t)
	snap := NewSnapshot(version, set)
	h := Head{Version: version, Digest: snap.Digest(), Grace: snap.Grace()}
	value, err := json.Marshal(h)
	is.NoErr(err)
	ctx := context.Background()
	is.NoErr(c.platform.PutObject(ctx, ObjectName(h.Digest), snap.Data()))
	is.NoErr(c.platform.Commit(ctx, []store.Op{{Table: Table, Key: KeyHead, Expect: store.Any, Value: value, Action: store.Put}}))
	return h
}

// refreshAll makes every follower refresh once.
func (c *testCell) refreshAll() {
	for _, p := range c.peers {
		c.followers[p.Name].refresh(context.Background())
	}
}

// setWith returns a set with a team, a queue with the default grace, a queue
// with a grace of 10 s, and the objects in text.
func setWith(t *testing.T, text string) *Set {
	t.Helper()
	return parse(t, "[team.shop]\n[queue.plain]\n[queue.patient]\npolicy = \"patient\"\n[policy.patient]\ngrace = \"10s\"\n"+text)
}
