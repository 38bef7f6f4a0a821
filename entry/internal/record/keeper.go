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
	// maxBodyBytes is the size of the largest answer that is stored.
	maxBodyBytes = 16 << 10
	// callTimeout bounds one call to another holder or the platform.
	callTimeout = time.Second
	// maxBackground is the maximum number of concurrent background tasks, which
	// send outcomes to other holders and change rows.
	maxBackground = 64
	// waitPollPeriod is how often Wait checks whether the background tasks have
	// ended.
	waitPollPeriod = 10 * time.Millisecond
	// maxClockSkew is the largest difference expected between the clocks of two
	// hosts.
	maxClockSkew = 10 * time.Second
)

// Caller makes calls to other processes.
type Caller interface {
	Call(ctx context.Context, address, verb string, in, out any) error
}

// Platform is the part of the table service that records use.
type Platform interface {
	Get(ctx context.Context, table, key string) (store.Row, error)
	Scan(ctx context.Context, table, prefix string) ([]store.Row, error)
	Commit(ctx context.Context, ops []store.Op) error
}

// Keeper stores this host's records. All methods may be called concurrently.
type Keeper struct {
	clock             *timer.Service
	caller            Caller
	ring              *Ring
	self              Host
	issuer            *Issuer
	batcher           *batcher
	platform          Platform
	retention         time.Duration
	maxRecords        int
	maxTotalBodyBytes int64 // limit for totalBodyBytes
	started           time.Time
	counters          *counters
	size              atomic.Int64
	totalBodyBytes    atomic.Int64
	group             errgroup.Group // background tasks; Wait polls inBackground so that new tasks may start while it waits
	inBackground      atomic.Int64
	shards            [shardCount]shard
	backoff           peerBackoff        // other holders to which idempotent claims are not sent for a while
	outboxes          map[string]*outbox // by host name; the map is never modified after New

	mu         sync.Mutex      // guards the fields below
	firstStart bool            // no process has run on this host before
	tableRead  bool            // the platform's table has been read since the process started
	synced     map[string]bool // hosts whose records have been read since then
}

// New returns a Keeper for the host self.
func New(clock *timer.Service, caller Caller, platform Platform, ring *Ring, self Host, issuer *Issuer, opts ...Option) *Keeper {
	k := &Keeper{
		clock: clock, caller: caller, ring: ring, self: self, issuer: issuer, platform: platform,
		outboxes:  make(map[string]*outbox),
		retention: defaultRetention, maxRecords: defaultMaxRecords, maxTotalBodyBytes: defaultMaxTotalBodyBytes, started: clock.Now(), synced: make(map[string]bool),
	}
	registry := metrics.NewRegistry()
	for _, opt := range opts {
		opt(k, &registry)
	}
	k.counters = newCounters(registry)
	k.batcher = newBatcher(platform)
	k.group.SetLimit(maxBackground)
	for _, h := range ring.hosts {
		if h.Name != self.Name {
			k.outboxes[h.Name] = &outbox{}
		}
	}
	for i := range k.shards {
		k.shards[i].entries = make(map[string]*entry)
	}
	return k
}

// Retention returns how long a record is kept after its claim, and after its outcome.
func (k *Keeper) Retention() time.Duration { return k.retention }

// Size returns the number of records.
func (k *Keeper) Size() int { return int(k.size.Load()) }

// Find returns this host's record of an id and whether there is one. The channel
// is closed when the request ends; it is nil unless the request runs on this
// host.
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

// Expired reports whether an id was issued longer ago than the retention time,
// so that its record may have been removed.
func (k *Keeper) Expired(id string) bool {
	is, ok := ParseIssued(id)
	return ok && k.clock.Now().Sub(is.At) > k.retention
}

// Other returns the other holder of an id, or the first one if this host is not a
// holder.
func (k *Keeper) Other(id string) Host {
	first, second := k.ring.Holders(id)
	if first.Name == k.self.Name {
		return second
	}
	return first
}

// complete reports whether this process has every claim on the id that this host
// may have stored, including those from before a restart.
func (k *Keeper) complete(id string) bool {
	if is, ok := ParseIssued(id); ok {
		if is.Host == k.self.Name && is.Epoch == k.issuer.Epoch() || is.At.After(k.started.Add(maxClockSkew)) {
			return true
		}
	}
	return k.completeWith(k.Other(id).Name)
}

// Authoritative reports whether this host would have a record of the id if the id had
// been used.
func (k *Keeper) Authoritative(id string) bool {
	first, second := k.ring.Holders(id)
	return (first.Name == k.self.Name || second.Name == k.self.Name) && k.complete(id) && !k.Expired(id)
}

// completeWith is like complete, for all ids whose other holder is peer.
func (k *Keeper) completeWith(peer string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.firstStart || k.clock.Now().Sub(k.started) > k.retention || k.tableRead && (peer == "" || k.synced[peer])
}

// Wait waits until all background tasks have ended, such as sending outcomes to
// other holders.
func (k *Keeper) Wait() {
	for k.inBackground.Load() > 0 {
		_ = k.clock.Sleep(context.Background(), waitPollPeriod)
	}
}

// runInBackground calls f in a new goroutine. It drops f if maxBackground tasks
// are already running.
func (k *Keeper) runInBackground(f func()) {
	k.inBackground.Add(1)
	started := k.group.TryGo(func() error {
		defer k.inBackground.Add(-1)
		f()
		return nil
	})
	if !started {
		k.inBackground.Add(-1)
	}
}

// withoutLargeBody returns the note as it is stored: without an answer that is
// incomplete or exceeds the limits.
func (k *Keeper) withoutLargeBody(n Note) Note {
	if n.Outcome != wire.Done && n.Outcome != wire.Failed || !n.Kept {
		n.Body, n.Kept = nil, false
		return n
	}
	if len(n.Body) > maxBodyBytes || k.totalBodyBytes.Load()+int64(len(n.Body)) > k.maxTotalBodyBytes {
		n.Body, n.Kept = nil, false
	}
	return n
}
