package hold

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/lease"
	"github.com/balsamford/balsamford/coord/owner"
)

const (
	defaultTerm  = 4500 * time.Millisecond
	defaultLease = 9 * time.Second
)

// Members names the placers of the zone that are alive and not leaving; a
// *roster.Roster is one.
type Members interface {
	Names() []string
}

// Keeper holds the ownership of all endpoints that this placer should own.
// All methods may be called concurrently.
type Keeper struct {
	name    string
	tag     uint16
	term    time.Duration
	lease   time.Duration
	client  Client
	clock   Clock
	sink    Sink
	fence   Fencer
	witness Witness
	members Members
	began   time.Duration
	group   errgroup.Group

	mu    sync.Mutex // guards the fields below
	ctx   context.Context
	seats map[string]*chair
}

// chair is a Seat and what drives it.
type chair struct {
	seat   *Seat
	listed bool
}

// Option changes how New makes a Keeper.
type Option func(*Keeper)

// WithTerm sets how long ownership holds without a renewal.
func WithTerm(d time.Duration) Option {
	return func(k *Keeper) { k.term = d }
}

// WithLease sets the length of task leases. It should be longer than two
// terms, so that tasks outlive a takeover.
func WithLease(d time.Duration) Option {
	return func(k *Keeper) { k.lease = d }
}

// WithFencer sets what grants terms for endpoints that don't fence.
func WithFencer(f Fencer) Option {
	return func(k *Keeper) { k.fence = f }
}

// WithWitness sets who is asked before the leases of an endpoint that can't be
// reached count as run out.
func WithWitness(w Witness) Option {
	return func(k *Keeper) { k.witness = w }
}

// New returns a Keeper for the placer called name. tag should differ between
// processes of the same name.
func New(name string, tag uint16, members Members, client Client, clock Clock, sink Sink, opts ...Option) *Keeper {
	k := &Keeper{
		name: name, tag: tag, members: members, client: client, clock: clock, sink: sink,
		term: defaultTerm, lease: defaultLease, fence: noFence{}, witness: alone{},
		began: clock.Boot(), seats: make(map[string]*chair),
	}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// Lease returns the length of task leases.
func (k *Keeper) Lease() time.Duration { return k.lease }

// Run drives the seats until ctx ends, then waits for them. It always returns
// nil.
func (k *Keeper) Run(ctx context.Context) error {
	k.mu.Lock()
	k.ctx = ctx
	for _, c := range k.seats {
		k.startLocked(c)
	}
	k.mu.Unlock()
	<-ctx.Done()
	k.mu.Lock()
	k.ctx = nil
	k.mu.Unlock()
	return k.group.Wait()
}

// Sync sets the endpoints that exist. One that is gone from the list is kept
// while it is owned and answers.
func (k *Keeper) Sync(targets []Target) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.seats {
		c.listed = false
	}
	for _, t := range targets {
		k.syncLocked(t)
	}
}

func (k *Keeper) syncLocked(t Target) {
	c := k.seats[t.Name]
	if c != nil {
		c.listed = true
		c.seat.list(t)
		return
	}
	c = &chair{seat: k.newSeat(t), listed: true}
	k.seats[t.Name] = c
	if k.ctx != nil {
		k.startLocked(c)
	}
}

func (k *Keeper) newSeat(t Target) *Seat {
	return &Seat{
		holder: k.name, epoch: lease.NewEpoch(k.tag), term: k.term, lease: k.lease, client: k.client,
		clock: k.clock, sink: k.sink, fence: k.fence, witness: k.witness, target: t,
	}
}

func (k *Keeper) startLocked(c *chair) {
	ctx := k.ctx
	k.group.Go(func() error { k.drive(ctx, c); return nil })
}

func (k *Keeper) drive(ctx context.Context, c *chair) {
	for ctx.Err() == nil {
		wait := c.seat.Step(ctx, k.wants(c.seat.Target()))
		if k.retire(c) {
			return
		}
		if wait > 0 {
			_ = k.clock.Sleep(ctx, wait)
		}
	}
}

// retire removes a seat that is neither listed nor owned.
func (k *Keeper) retire(c *chair) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, owned := c.seat.Owned(); c.listed || owned {
		return false
	}
	delete(k.seats, c.seat.Target().Name)
	return true
}

func (k *Keeper) wants(t Target) bool {
	return owner.Of(t.Group(), k.members.Names()) == k.name
}

// Seat returns the seat of the endpoint, or nil if it isn't known.
func (k *Keeper) Seat(endpoint string) *Seat {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c := k.seats[endpoint]; c != nil {
		return c.seat
	}
	return nil
}

// Enter returns a Pass to start work on the endpoint under the epoch in which
// that was decided. The error is a *NotOwnerError.
func (k *Keeper) Enter(endpoint string, epoch uint64) (*Pass, error) {
	if s := k.Seat(endpoint); s != nil {
		return s.Enter(epoch)
	}
	return nil, &NotOwnerError{Endpoint: endpoint}
}

// Control returns a Pass for a call to the endpoint that starts nothing. The
// error is a *NotOwnerError.
func (k *Keeper) Control(endpoint string) (*Pass, error) {
	if s := k.Seat(endpoint); s != nil {
		return s.Control()
	}
	return nil, &NotOwnerError{Endpoint: endpoint}
}

// Ack says that the ended task with this Seq has been recorded.
func (k *Keeper) Ack(endpoint string, seq uint64) {
	if s := k.Seat(endpoint); s != nil {
		s.Ack(seq)
	}
}

// Leaving notes that the endpoint refused a start because it is leaving.
func (k *Keeper) Leaving(endpoint string) {
	if s := k.Seat(endpoint); s != nil {
		s.markLeaving()
	}
}

// Span returns how long after its last renewal an endpoint's leases may hold
// at most.
func (k *Keeper) Span() time.Duration { return 2*k.lease + lease.Margin(2*k.lease) }

// Held reports whether this placer owns the endpoint or may have kept its
// leases alive within the last Span; a process that has just started can't
// know what the one before it did.
func (k *Keeper) Held(endpoint string) bool {
	now := k.clock.Boot()
	if now-k.began < k.Span() {
		return true
	}
	s := k.Seat(endpoint)
	return s != nil && s.heldSince(now-k.Span())
}

// Superseded notes that another placer opened the endpoint under a later
// epoch.
func (k *Keeper) Superseded(endpoint string, epoch uint64) {
	if s := k.Seat(endpoint); s != nil {
		s.supersede(epoch)
	}
}

// Known returns the names of all known endpoints.
func (k *Keeper) Known() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]string, 0, len(k.seats))
	for name := range k.seats {
		out = append(out, name)
	}
	return out
}

// Owned returns the names of the endpoints that are owned.
func (k *Keeper) Owned() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for name, c := range k.seats {
		if _, ok := c.seat.Owned(); ok {
			out = append(out, name)
		}
	}
	return out
}

// Count returns how many endpoints are known and how many are owned.
func (k *Keeper) Count() (known, owned int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.seats {
		if _, ok := c.seat.Owned(); ok {
			owned++
		}
	}
	return len(k.seats), owned
}
