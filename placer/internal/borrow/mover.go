package borrow

import (
	"context"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/parts"
	"github.com/balsamford/balsamford/coord/roster"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/placer/internal/limit"
)

const (
	// askPeriod is the length of a round. In each round, peers are asked for
	// parts for the teams that lack room.
	askPeriod = 200 * time.Millisecond
	// maxSettleRounds is the maximum number of rounds between two settlements.
	// A settlement reads one row for each team with a limit.
	maxSettleRounds = 75
	// minSettleRounds is the number of rounds between the first two settlements
	// while a team lacks room. The number doubles with each further settlement,
	// since a team at its limit lacks room for long.
	minSettleRounds = 1
	// In the first startupRounds, there is a settlement at least every
	// startupSettleRounds, so that parts are there before the first demand.
	startupRounds       = 75
	startupSettleRounds = 5
	// releaseRounds is the number of rounds between two searches for dead
	// holders. deadRounds applies instead while one is known.
	releaseRounds = 50
	deadRounds    = 10
	// callTimeout is the timeout of one call to a peer.
	callTimeout = 2 * time.Second
)

// Table is the platform's table, implemented by *store.Client.
type Table interface {
	parts.Table
	Scan(ctx context.Context, table, prefix string) ([]store.Row, error)
}

// Members lists the placers, implemented by *roster.Roster.
type Members interface {
	Self() roster.Member
	Live() []roster.Member
	Peers() []roster.Member
	Alive(name string) (roster.Member, bool)
}

// Caller calls other placers, implemented by *link.Node.
type Caller interface {
	Call(ctx context.Context, address, verb string, in, out any) error
}

// Pacer is a clock with timers, implemented by *timer.Service.
type Pacer interface {
	Boot() time.Duration
	After(d time.Duration, f func()) *timer.Timer
}

// Owners reports whether the endpoints of dead placers have been taken over.
type Owners interface {
	// Adopted reports whether each known endpoint is owned by a live placer.
	Adopted(ctx context.Context) bool
	// MaxLeaseTime returns how long task leases can last after their last renewal.
	// A placer must have been dead for that long before its parts are released.
	MaxLeaseTime() time.Duration
}

// Mover does the periodic work for a limit.Keeper: it asks peers for parts,
// settles with the platform and releases the parts of dead placers.
type Mover struct {
	limiter   *Limiter
	zone      string
	table     Table
	members   Members
	caller    Caller
	pacer     Pacer
	owners    Owners
	log       *zap.Logger
	wasLive   map[string]bool          // live holders in the previous round
	deadSince map[string]time.Duration // dead holders and when each was first seen dead
}

// New returns a Mover.
func New(l *Limiter, zone string, t Table, m Members, c Caller, p Pacer, o Owners, log *zap.Logger) *Mover {
	return &Mover{limiter: l, zone: zone, table: t, members: m, caller: c, pacer: p, owners: o, log: log, deadSince: make(map[string]time.Duration)}
}

// Handle serves wire.VerbPart.
func (m *Mover) Handle(_ context.Context, s *link.Stream) error {
	var in parts.Ask
	if err := s.Recv(&in); err != nil {
		return err
	}
	return s.Send(m.limiter.Serve(in))
}

// Run does the periodic work until ctx is done. It always returns nil.
func (m *Mover) Run(ctx context.Context) error {
	interval, next := minSettleRounds, minSettleRounds // in rounds; next is the next settlement
	newLack := false
	for round := 1; m.wait(ctx, &newLack); round++ {
		m.ask(ctx)
		m.limiter.SetLacking(m.limiter.Wants())
		lacked := m.limiter.Lacks()
		if !lacked {
			interval = minSettleRounds
		}
		if m.limiter.Changed() || newLack {
			interval, next = minSettleRounds, round
		}
		if round >= next {
			m.settle(ctx)
			m.limiter.SetLacking(m.limiter.Wants()) // teams that lack room from now on cause a signal
			interval = min(2*interval, maxSettleRounds)
			next = round + interval
		}
		if round < startupRounds {
			next = min(next, round+startupSettleRounds)
		}
		if lacked {
			next = min(next, round+interval)
		}
		if m.releaseDue(round) {
			m.releaseDead(ctx)
		}
	}
	return nil
}

// wait waits for the next round. The round begins at once if a team began to
// lack room; newLack is then set to true, otherwise to false. wait returns false
// if ctx is done.
func (m *Mover) wait(ctx context.Context, newLack *bool) bool {
	elapsed := make(chan struct{})
	t := m.pacer.After(askPeriod, func() { close(elapsed) })
	defer t.Stop()
	*newLack = false
	select {
	case <-ctx.Done():
		return false
	case <-elapsed:
	case <-m.limiter.LackSignal():
		*newLack = true
	}
	return true
}

func (m *Mover) settle(ctx context.Context) {
	if err := m.limiter.Settle(ctx, m.table); err != nil {
		m.log.Debug("settlement of limits failed", zap.Error(err))
	}
}

// ask asks peers for parts and confirms the parts that they grant.
func (m *Mover) ask(ctx context.Context) {
	links, names := m.peers()
	var g errgroup.Group
	for _, r := range m.limiter.Asks(names) {
		g.Go(func() error { m.send(ctx, links, r); return nil })
	}
	_ = g.Wait()
}

func (m *Mover) send(ctx context.Context, links map[string]string, r limit.Request) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for next := &r; next != nil; {
		var grant parts.Grant
		if m.caller.Call(ctx, links[next.Peer], wire.VerbPart, next.Ask, &grant) != nil || !next.Ask.Want.Any() {
			return
		}
		next = m.limiter.Accept(grant)
	}
}

// peers returns the names under which the other live placers of the zone hold
// parts, and their link addresses by name.
func (m *Mover) peers() (links map[string]string, names []string) {
	links = make(map[string]string)
	for _, p := range m.members.Live() {
		if p.Zone == m.zone && p.Name != m.members.Self().Name {
			links[Name(p)] = p.Link
			names = append(names, Name(p))
		}
	}
	return links, names
}
