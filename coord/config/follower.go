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

// outstanding bounds the reads of the head that are on their way at a time,
// so that a slow platform still confirms every interval.
const maxReads = 4

// Follower keeps a process at the newest version of the configuration. The
// versions that it applies only go up. All methods may be called concurrently.
type Follower struct {
	name, zone    string
	address       string
	platform      Home
	timers        *timer.Service
	roster        Roster
	caller        Caller
	period        time.Duration
	interval      time.Duration
	readers       int
	writer        bool   // the process may publish
	run           string // of a writer; tells it from others of its name
	log           *zap.Logger
	registry      metrics.Registry
	counts        counts
	nextPeer      atomic.Uint64 // rotates the peers that are asked
	current       atomic.Pointer[applied]
	announcements chan Head // a head that Run has to tell peers of
	started       time.Duration

	mu              sync.Mutex // guards the fields below
	confirmedAt     time.Duration
	hasConfirmation bool   // sent holds a read that showed no version newer than the current one
	byAnswers       bool   // sent is the moment of a question to all writers, not of a read
	readSinceListed bool   // a read has confirmed a version since the process was listed
	newestKnown     uint64 // newest version known to have been published
	rollRead        rollRead
	finals          map[string]Final // by run
	enrolled        bool             // the process has been on the roll
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

// NewFollower returns a Follower for the process of that name and zone. It
// has no version until Run or Handle gets one.
func NewFollower(name, zone string, platform Home, timers *timer.Service, opts ...Option) *Follower {
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

// Head returns the head of the newest version applied; its Version is 0 if
// there is none yet.
func (f *Follower) Head() Head {
	if a := f.current.Load(); a != nil {
		return a.head
	}
	return Head{}
}

// Period returns how long a read of the head confirms a version.
func (f *Follower) Period() time.Duration { return f.period }

// Age returns how long ago the newest read was sent that confirms the current
// version; ok is false if there was none.
func (f *Follower) Age() (age time.Duration, ok bool) {
	f.mu.Lock()
	sent, counted := f.confirmedAt, f.hasConfirmation && f.listedLocked()
	f.mu.Unlock()
	return f.timers.Boot() - sent, counted
}

// Fresh reports whether the current version is confirmed for queues without a
// policy, and for operators.
func (f *Follower) Fresh() bool { return f.confirmed(DefaultGrace) }

// Honours reports whether the current version is confirmed well enough for
// keys to be honoured in that queue, whose policy sets the grace. Open queues
// need no confirmation.
func (f *Follower) Honours(queue string) bool {
	snap := f.Current()
	return snap != nil && f.confirmed(snap.QueuePolicy(queue).Grace())
}

func (f *Follower) confirmed(grace time.Duration) bool {
	age, ok := f.Age()
	return ok && f.Current() != nil && age <= f.period+grace
}

// Run follows the head until ctx ends, and returns nil.
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
