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
	// askPeriod is the time between asks while teams lack room.
	askPeriod = 200 * time.Millisecond
	// settleRounds is how many of these lie between two looks at the accounts
	// at most. Each look reads one row for each team with a limit.
	settleRounds = 75
	// wantRounds is how many lie between the first two looks while a team
	// lacks room; then the number doubles, since a team at its limit lacks
	// room for long.
	wantRounds = 1
	// firstRounds is how many rounds after the start accounts are looked at
	// every startRounds, so that parts are there before the first demand.
	firstRounds = 75
	startRounds = 5
	// buryRounds is how many lie between two looks for dead holders, and
	// deadRounds the same while one is known.
	buryRounds = 50
	deadRounds = 10
	// restRounds is how many pass at a time while no team lacks room. It divides
	// buryRounds and deadRounds.
	restRounds = 5
	// callTimeout bounds one call.
	callTimeout = 2 * time.Second
)

// Table is the platform's table; a *store.Client is one.
type Table interface {
	parts.Table
	Scan(ctx context.Context, table, prefix string) ([]store.Row, error)
}

// Members knows the placers of the zone; a *roster.Roster is one.
type Members interface {
	Self() roster.Member
	Live() []roster.Member
	Peers() []roster.Member
	Alive(name string) (roster.Member, bool)
}

// Caller calls other placers; a *link.Node is one.
type Caller interface {
	Call(ctx context.Context, address, verb string, in, out any) error
}

// Pacer tells the time; a *timer.Service is one.
type Pacer interface {
	Boot() time.Duration
	After(d time.Duration, f func()) *timer.Timer
}

// Owners says which endpoints of the zone nobody who lives has opened.
type Owners interface {
	// Adopted reports whether each known endpoint is owned by a live placer.
	Adopted(ctx context.Context) bool
	// Span is how long a placer has to be dead before it is buried.
	Span() time.Duration
}

// Mover does the periodic work of a limit.Keeper.
type Mover struct {
	keeper  *Count
	zone    string
	table   Table
	members Members
	caller  Caller
	pacer   Pacer
	owners  Owners
	log     *zap.Logger
	lived   map[string]bool          // placers that lived when that was last looked at
	dead    map[string]time.Duration // holders that aren't alive, by when that was first seen
}

// New returns a Mover.
func New(k *Count, zone string, t Table, m Members, c Caller, p Pacer, o Owners, log *zap.Logger) *Mover {
	return &Mover{keeper: k, zone: zone, table: t, members: m, caller: c, pacer: p, owners: o, log: log, dead: make(map[string]time.Duration)}
}

// Handle serves wire.VerbPart.
func (m *Mover) Handle(_ context.Context, s *link.Stream) error {
	var in parts.Ask
	if err := s.Recv(&in); err != nil {
		return err
	}
	return s.Send(m.keeper.Serve(in))
}

// Run works until ctx ends. It always returns nil.
func (m *Mover) Run(ctx context.Context) error {
	gap, due := wantRounds, wantRounds
	lacked := false
	for round := 0; ; {
		rounds, ok := m.wait(ctx, lacked, round)
		if !ok {
			return nil
		}
		round += rounds
		m.ask(ctx)
		lacked = len(m.keeper.Wants()) > 0
		if !lacked {
			gap = wantRounds
		}
		if round >= due {
			m.settle(ctx)
			gap = min(2*gap, settleRounds)
			due = round + gap
		}
		if round < firstRounds {
			due = min(due, round+startRounds)
		}
		if lacked {
			due = min(due, round+gap)
		}
		if m.buryDue(round) {
			m.bury(ctx)
		}
	}
}

// wait waits for the next ask and returns how many rounds have passed: one while
// teams lack room or the process is new. Unless teams lack room already the first
// lack ends the wait at once. It reports false when ctx has ended.
func (m *Mover) wait(ctx context.Context, lacked bool, round int) (rounds int, ok bool) {
	rounds, lack := restRounds-round%restRounds, m.keeper.Lack()
	if lacked || round < startRounds {
		rounds = 1
	}
	if lacked {
		lack = nil
	}
	over := make(chan struct{})
	t := m.pacer.After(time.Duration(rounds)*askPeriod, func() { close(over) })
	defer t.Stop()
	select {
	case <-ctx.Done():
		return 0, false
	case <-over:
		return rounds, true
	case <-lack:
		return 1, true
	}
}

func (m *Mover) settle(ctx context.Context) {
	if err := m.keeper.Settle(ctx, m.table); err != nil {
		m.log.Debug("limits not settled", zap.Error(err))
	}
}

// ask asks peers for parts and confirms what they gave.
func (m *Mover) ask(ctx context.Context) {
	links, names := m.peers()
	var g errgroup.Group
	for _, r := range m.keeper.Asks(names) {
		g.Go(func() error { m.send(ctx, links, r); return nil })
	}
	_ = g.Wait()
}

func (m *Mover) send(ctx context.Context, links map[string]string, r limit.Request) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for next := &r; next != nil; {
		var grant parts.Grant
		if m.caller.Call(ctx, links[next.Peer], wire.VerbPart, next.Ask, &grant) != nil || next.Ask.Want == 0 {
			return
		}
		next = m.keeper.Accept(grant)
	}
}

// peers returns the other live placers of the zone, by the names under which
// they hold parts.
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
