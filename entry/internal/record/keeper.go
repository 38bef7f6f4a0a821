package record

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
)

const (
	// bodyLimit is the largest answer that is kept, in bytes.
	bodyLimit = 16 << 10
	// callTime bounds one call to another holder or the platform.
	callTime = time.Second
	// tellers is how many outcomes are told to other holders at a time.
	tellers = 64
	// waitLook is how often Wait looks for the end of what runs in the
	// background.
	waitLook = 10 * time.Millisecond
	// clockSkew is how far the clocks of two hosts may differ.
	clockSkew = 10 * time.Second
)

// Caller makes calls to other processes.
type Caller interface {
	Call(ctx context.Context, address, verb string, in, out any) error
}

// Platform is the table service as far as records need it.
type Platform interface {
	Get(ctx context.Context, table, key string) (store.Row, error)
	Scan(ctx context.Context, table, prefix string) ([]store.Row, error)
	Commit(ctx context.Context, ops []store.Op) error
}

// Keeper holds this host's records. All methods may be called concurrently.
type Keeper struct {
	clock    *timer.Service
	caller   Caller
	ring     *Ring
	self     Host
	issuer   *Issuer
	platform *batch
	table    Platform
	keep     time.Duration
	limit    int
	bodies   int64 // bytes of answers that may be kept in all
	started  time.Time
	counts   *counts
	size     atomic.Int64
	kept     atomic.Int64
	group    errgroup.Group // its end is awaited by telling, so that Wait and later may overlap
	telling  atomic.Int64
	shards   [shards]shard
	silent   silent            // holders that are not told of idempotent requests for a while
	tells    map[string]*tells // by host; the map never changes

	mu      sync.Mutex // guards the fields below
	first   bool       // this host has never run before
	scanned bool       // the platform's table has been read since the start
	synced  map[string]bool
}

// New returns a Keeper for the host self.
func New(clock *timer.Service, caller Caller, platform Platform, ring *Ring, self Host, issuer *Issuer, opts ...Option) *Keeper {
	k := &Keeper{
		clock: clock, caller: caller, ring: ring, self: self, issuer: issuer, table: platform,
		tells: make(map[string]*tells),
		keep:  defaultKeep, limit: defaultLimit, bodies: defaultBodies, started: clock.Now(), synced: make(map[string]bool),
	}
	registry := metrics.NewRegistry()
	for _, opt := range opts {
		opt(k, &registry)
	}
	k.counts = newCounts(registry)
	k.platform = newBatch(platform)
	k.group.SetLimit(tellers)
	for _, h := range ring.hosts {
		if h.Name != self.Name {
			k.tells[h.Name] = &tells{}
		}
	}
	for i := range k.shards {
		k.shards[i].entries = make(map[string]*entry)
	}
	return k
}

// Keep returns how long records are kept after the claim and the outcome.
func (k *Keeper) Keep() time.Duration { return k.keep }

// Size returns the number of records.
func (k *Keeper) Size() int { return int(k.size.Load()) }

// Find returns what is known of an id here. The channel is closed when a
// request that runs here ends; it is nil otherwise.
func (k *Keeper) Find(id string) (Note, <-chan struct{}, bool) {
	sh := k.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	e := sh.entries[id]
	if e == nil {
		return Note{}, nil, false
	}
	return e.note, e.done, true
}

// Expired reports whether an id was issued so long ago that its record may
// no longer be kept.
func (k *Keeper) Expired(id string) bool {
	is, ok := ParseIssued(id)
	return ok && k.clock.Now().Sub(is.At) > k.keep
}

// Other returns the holder of an id that isn't this host.
func (k *Keeper) Other(id string) Host {
	first, second := k.ring.Holders(id)
	if first.Name == k.self.Name {
		return second
	}
	return first
}

// complete reports whether this process knows every claim on the id that it
// may ever have held.
func (k *Keeper) complete(id string) bool {
	if is, ok := ParseIssued(id); ok {
		if is.Host == k.self.Name && is.Epoch == k.issuer.Epoch() || is.At.After(k.started.Add(clockSkew)) {
			return true
		}
	}
	return k.completeWith(k.Other(id).Name)
}

// Vouches reports whether this host would know the id if it had been used.
func (k *Keeper) Vouches(id string) bool {
	first, second := k.ring.Holders(id)
	return (first.Name == k.self.Name || second.Name == k.self.Name) && k.complete(id) && !k.Expired(id)
}

// completeWith is complete for all ids that are also held by the given host.
func (k *Keeper) completeWith(peer string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.first || k.clock.Now().Sub(k.started) > k.keep || k.scanned && (peer == "" || k.synced[peer])
}

// Wait waits until outcomes that are on their way to other holders have been
// told.
func (k *Keeper) Wait() {
	for k.telling.Load() > 0 {
		_ = k.clock.Sleep(context.Background(), waitLook)
	}
}

// later does something in the background, unless too much is done there
// already.
func (k *Keeper) later(f func()) {
	k.telling.Add(1)
	started := k.group.TryGo(func() error {
		defer k.telling.Add(-1)
		f()
		return nil
	})
	if !started {
		k.telling.Add(-1)
	}
}

// trimmed returns the note as it is kept: without an answer that is too
// large.
func (k *Keeper) trimmed(n Note) Note {
	if n.Outcome != wire.Done && n.Outcome != wire.Failed || !n.Kept {
		n.Body, n.Kept = nil, false
		return n
	}
	if len(n.Body) > bodyLimit || k.kept.Load()+int64(len(n.Body)) > k.bodies {
		n.Body, n.Kept = nil, false
	}
	return n
}
