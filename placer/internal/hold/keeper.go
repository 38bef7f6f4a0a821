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

// Members lists the placers of the zone that are alive and not leaving;
// *roster.Roster implements it.
type Members interface {
	Names() []string
}

// Keeper manages the ownership of all endpoints of the zone: it runs one
// Ownership per endpoint. All methods may be called concurrently.
type Keeper struct {
	name      string
	tag       uint16
	term      time.Duration
	lease     time.Duration
	client    Client
	clock     Clock
	sink      Sink
	fence     Fencer
	witness   Witness
	members   Members
	startedAt time.Duration
	group     errgroup.Group

	mu        sync.Mutex // guards the fields below
	ctx       context.Context
	endpoints map[string]*managedEndpoint
}

// managedEndpoint is an endpoint of the zone.
type managedEndpoint struct {
	ownership *Ownership
	listed    bool // in the targets of the last Sync
}

// Option configures a Keeper.
type Option func(*Keeper)

// WithTerm sets how long ownership lasts without a renewal.
func WithTerm(d time.Duration) Option {
	return func(k *Keeper) { k.term = d }
}

// WithLease sets the duration of task leases. It should be longer than two
// terms, so that tasks survive a takeover.
func WithLease(d time.Duration) Option {
	return func(k *Keeper) { k.lease = d }
}

// WithFencer sets the Fencer that grants terms for endpoints without fencing.
func WithFencer(f Fencer) Option {
	return func(k *Keeper) { k.fence = f }
}

// WithWitness sets the Witness that must confirm that the leases of an
// unreachable endpoint have expired.
func WithWitness(w Witness) Option {
	return func(k *Keeper) { k.witness = w }
}

// New returns a Keeper for the placer called name. tag becomes part of its
// epochs and should differ between processes of the same name.
func New(name string, tag uint16, members Members, client Client, clock Clock, sink Sink, opts ...Option) *Keeper {
	k := &Keeper{
		name: name, tag: tag, members: members, client: client, clock: clock, sink: sink,
		term: defaultTerm, lease: defaultLease, fence: noFence{}, witness: noPeers{},
		startedAt: clock.Boot(), endpoints: make(map[string]*managedEndpoint),
	}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// Lease returns the duration of task leases.
func (k *Keeper) Lease() time.Duration { return k.lease }

// Run acquires, renews and hands over endpoints until ctx ends, then waits for
// the goroutines of all endpoints. It always returns nil.
func (k *Keeper) Run(ctx context.Context) error {
	k.mu.Lock()
	k.ctx = ctx
	for _, e := range k.endpoints {
		k.startLocked(e)
	}
	k.mu.Unlock()
	<-ctx.Done()
	k.mu.Lock()
	k.ctx = nil
	k.mu.Unlock()
	return k.group.Wait()
}

// Sync sets the list of existing endpoints. An owned endpoint that is missing
// from the list is kept until the ownership ends.
func (k *Keeper) Sync(targets []Target) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range k.endpoints {
		e.listed = false
	}
	for _, t := range targets {
		k.syncLocked(t)
	}
}

func (k *Keeper) syncLocked(t Target) {
	e := k.endpoints[t.Name]
	if e != nil {
		e.listed = true
		e.ownership.setTarget(t)
		return
	}
	e = &managedEndpoint{ownership: k.newOwnership(t), listed: true}
	k.endpoints[t.Name] = e
	if k.ctx != nil {
		k.startLocked(e)
	}
}

func (k *Keeper) newOwnership(t Target) *Ownership {
	return &Ownership{
		holder: k.name, epoch: lease.NewEpoch(k.tag), term: k.term, lease: k.lease, client: k.client,
		clock: k.clock, sink: k.sink, fence: k.fence, witness: k.witness, target: t,
	}
}

func (k *Keeper) startLocked(e *managedEndpoint) {
	ctx := k.ctx
	k.group.Go(func() error { k.runEndpoint(ctx, e); return nil })
}

func (k *Keeper) runEndpoint(ctx context.Context, e *managedEndpoint) {
	for ctx.Err() == nil {
		wait := e.ownership.Step(ctx, k.shouldOwn(e.ownership.Target()))
		if k.removeIfUnused(e) {
			return
		}
		if wait > 0 {
			_ = k.clock.Sleep(ctx, wait)
		}
	}
}

// removeIfUnused removes an endpoint that is neither listed nor owned, and reports
// whether it did.
func (k *Keeper) removeIfUnused(e *managedEndpoint) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if _, owned := e.ownership.Owned(); e.listed || owned {
		return false
	}
	delete(k.endpoints, e.ownership.Target().Name)
	return true
}

func (k *Keeper) shouldOwn(t Target) bool {
	return owner.Of(t.Group(), k.members.Names()) == k.name
}

// Ownership returns the ownership of the endpoint, or nil if the endpoint is unknown.
func (k *Keeper) Ownership(endpoint string) *Ownership {
	k.mu.Lock()
	defer k.mu.Unlock()
	if e := k.endpoints[endpoint]; e != nil {
		return e.ownership
	}
	return nil
}

// Enter returns a Pass to start work on the endpoint. epoch is that of the
// ownership under which the start was decided. The error is a *NotOwnerError.
func (k *Keeper) Enter(endpoint string, epoch uint64) (*Pass, error) {
	if o := k.Ownership(endpoint); o != nil {
		return o.Enter(epoch)
	}
	return nil, &NotOwnerError{Endpoint: endpoint}
}

// Control returns a Pass for a call to the endpoint that starts no task. The
// error is a *NotOwnerError.
func (k *Keeper) Control(endpoint string) (*Pass, error) {
	if o := k.Ownership(endpoint); o != nil {
		return o.Control()
	}
	return nil, &NotOwnerError{Endpoint: endpoint}
}

// Ack acknowledges the ended task with this sequence number, once its result
// has been recorded.
func (k *Keeper) Ack(endpoint string, seq uint64) {
	if o := k.Ownership(endpoint); o != nil {
		o.Ack(seq)
	}
}

// Leaving marks the endpoint as leaving, after it refused a start for that
// reason.
func (k *Keeper) Leaving(endpoint string) {
	if o := k.Ownership(endpoint); o != nil {
		o.markLeaving()
	}
}

// MaxLeaseTime returns the longest time that an endpoint's leases can last after their
// last renewal.
func (k *Keeper) MaxLeaseTime() time.Duration { return 2*k.lease + lease.Margin(2*k.lease) }

// Held reports whether this placer owns the endpoint or may have renewed its
// leases within the last MaxLeaseTime. In the first MaxLeaseTime after the start of the
// process it returns true, because the previous process may have renewed them.
func (k *Keeper) Held(endpoint string) bool {
	now := k.clock.Boot()
	if now-k.startedAt < k.MaxLeaseTime() {
		return true
	}
	o := k.Ownership(endpoint)
	return o != nil && o.ownedSince(now-k.MaxLeaseTime())
}

// Superseded ends the ownership of the endpoint at its next step if epoch, under
// which another placer has opened the endpoint, is later than its own.
func (k *Keeper) Superseded(endpoint string, epoch uint64) {
	if o := k.Ownership(endpoint); o != nil {
		o.supersede(epoch)
	}
}

// Known returns the names of all known endpoints.
func (k *Keeper) Known() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	out := make([]string, 0, len(k.endpoints))
	for name := range k.endpoints {
		out = append(out, name)
	}
	return out
}

// Owned returns the names of the endpoints that this placer owns.
func (k *Keeper) Owned() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for name, e := range k.endpoints {
		if _, ok := e.ownership.Owned(); ok {
			out = append(out, name)
		}
	}
	return out
}

// Count returns how many endpoints are known and how many are owned.
func (k *Keeper) Count() (known, owned int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range k.endpoints {
		if _, ok := e.ownership.Owned(); ok {
			owned++
		}
	}
	return len(k.endpoints), owned
}
