package config

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/timer"
)

// maxReads limits the concurrent refreshes of a Follower. More than one are
// needed so that a platform that takes longer than the interval still confirms
// the version in every interval.
const maxReads = 4

// Follower keeps a process at the newest version of the configuration. The
// versions that it applies never decrease. All methods may be called
// concurrently.
type Follower struct {
	name, zone    string
	address       string
	platform      FollowerPlatform
	timers        *timer.Service
	roster        Roster
	caller        Caller
	period        time.Duration
	interval      time.Duration
	readers       int
	writer        bool   // the process may publish
	run           string // random ID of a writer's run; see Writer.Run
	log           *zap.Logger
	registry      metrics.Registry
	counts        counts
	nextPeer      atomic.Uint64 // rotates the peers that nextPeers returns
	current       atomic.Pointer[applied]
	announcements chan Head // head that Run has to announce to peers
	started       time.Duration

	mu              sync.Mutex // guards the fields below
	confirmedAt     time.Duration
	hasConfirmation bool   // confirmedAt is valid
	byAnswers       bool   // the confirmation came from the writers, not from a read
	readSinceListed bool   // a read has confirmed a version since the process was listed
	newestKnown     uint64 // newest version known to have been published
	rollRead        rollRead
	finals          map[string]Final // last answers of writers that have left, by run
	enrolled        bool             // this run has been on the roll
	membership      membership
	drains          drainList
	left            bool // Leave was called
	pending         offer
	loading         bool
	history         []olderVersion
	subscribers     []*subscriber
}

// applied is a snapshot with the head that named it.
type applied struct {
	head Head
	snap *Snapshot
}

// NewFollower returns a Follower for the process with that name in that
// availability zone. The name must be unique among all processes. The Follower
// has no version until Run, or a handler that Register sets, has loaded one.
func NewFollower(name, zone string, platform FollowerPlatform, timers *timer.Service, opts ...Option) *Follower {
	f := &Follower{
		name: name, zone: zone, platform: platform, timers: timers,
		roster: RosterFunc(func() []Peer { return nil }),
		period: DefaultPeriod, interval: DefaultInterval, readers: DefaultReaders,
		log: zap.NewNop(), registry: metrics.NewRegistry(), announcements: make(chan Head, 1),
		finals: make(map[string]Final),
	}
	for _, opt := range opts {
		opt(f)
	}
	f.started = timers.Boot()
	f.membership.earliestRead = f.started
	f.counts = newCounts(f)
	return f
}

// Current returns the newest version applied, or nil if there is none yet.
func (f *Follower) Current() *Snapshot {
	if a := f.current.Load(); a != nil {
		return a.snap
	}
	return nil
}

// Head returns the head of the newest version applied. Its Version is 0 if
// there is none yet.
func (f *Follower) Head() Head {
	if a := f.current.Load(); a != nil {
		return a.head
	}
	return Head{}
}

// Period returns how long a read of the head confirms a version, counted from
// when it was sent.
func (f *Follower) Period() time.Duration { return f.period }

// Age returns the time since the confirmation of the current version: since the
// newest read that returned it was sent, or since the writers were asked that
// confirmed it. ok is false if the version is unconfirmed or the process isn't
// listed.
func (f *Follower) Age() (age time.Duration, ok bool) {
	f.mu.Lock()
	sent, counted := f.confirmedAt, f.hasConfirmation && f.listedLocked()
	f.mu.Unlock()
	return f.timers.Boot() - sent, counted
}

// Fresh reports whether the current version is confirmed within Period plus
// DefaultGrace, the limit for operators' keys and for queues without a policy.
func (f *Follower) Fresh() bool { return f.confirmed(DefaultGrace) }

// Honours reports whether keys may be accepted for that queue: whether the
// current version is confirmed within Period plus the grace of the queue's
// policy. Requests to open queues need no confirmation.
func (f *Follower) Honours(queue string) bool {
	snap := f.Current()
	return snap != nil && f.confirmed(snap.QueuePolicy(queue).Grace())
}

func (f *Follower) confirmed(grace time.Duration) bool {
	age, ok := f.Age()
	return ok && f.Current() != nil && age <= f.period+grace
}

// Run keeps the process at the newest version until ctx ends, and then returns
// nil. It waits for its goroutines before it returns.
func (f *Follower) Run(ctx context.Context) error {
	tick := make(chan struct{}, 1)
	tick <- struct{}{}
	t := f.timers.Every(f.interval, func() {
		select {
		case tick <- struct{}{}:
		default:
		}
	})
	defer t.Stop()
	var reads, asks, tells errgroup.Group
	reads.SetLimit(maxReads)
	asks.SetLimit(1)
	for {
		select {
		case <-ctx.Done():
			return errors.Join(reads.Wait(), asks.Wait(), tells.Wait())
		case <-tick:
			asks.TryGo(func() error { f.confirmFromWriters(ctx); return nil })
			reads.TryGo(func() error { f.refresh(ctx); return nil })
		case head := <-f.announcements:
			tells.Go(func() error { f.announce(ctx, head); return nil })
		}
	}
}
