package hold

import (
	"context"
	"fmt"
	"time"

	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/lease"
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/coord/wire"
	"github.com/balsamford/balsamford/standin/engine"
)

const (
	modelTerm  = 3 * time.Second
	modelLease = 6 * time.Second
)

// model is one endpoint and the placers that compete for it, on manual time.
type model struct {
	t       *rapid.T
	timer   *timer.Service
	engine  *engine.Endpoint
	placers []*placer
	delayed []func() // messages in transit whose sender has timed out
	opened  map[uint64]*placer
	faults  bool
	tasks   int
}

// placer is one process; it implements Client, Sink and Witness.
type placer struct {
	*model
	name      string
	ownership *Ownership
	want      bool
	startedAt time.Duration
	lastActed time.Duration // time of the last step or start
	epoch     uint64        // of the last Opened event
	owns      bool          // according to the sink's events
}

func newModel(t *rapid.T, placers int) *model {
	m := &model{t: t, timer: timer.New(timer.WithManual(time.Unix(0, 0))), opened: make(map[uint64]*placer), faults: true}
	m.timer.Advance(time.Hour)
	m.engine = engine.New("w", engine.WithTimer(m.timer), engine.WithCapacity(wire.Needs{CPU: 1 << 40}))
	for i := range placers {
		m.placers = append(m.placers, nil)
		m.restart(i)
	}
	return m
}

// restart replaces a process with a new one of the same name.
func (m *model) restart(i int) {
	p := &placer{model: m, name: fmt.Sprintf("p%d", i), want: true, startedAt: m.timer.Boot(), lastActed: m.timer.Boot()}
	tag := uint16(len(m.opened)*8 + i + 1)
	p.ownership = &Ownership{
		holder: p.name, epoch: lease.NewEpoch(tag), term: modelTerm, lease: modelLease, client: p, clock: m.timer,
		sink: p, fence: noFence{}, witness: p, target: Target{Name: "w", Address: "w"},
	}
	m.placers[i] = p
}

// drawFault draws what happens to a message: before is whether it arrives now,
// after whether its answer arrives.
func (p *placer) drawFault(deliver func()) (before, after bool) {
	if !p.faults {
		return true, true
	}
	switch rapid.IntRange(0, 9).Draw(p.t, "fate") {
	case 0: // lost
		return false, false
	case 1: // arrives after its sender has timed out
		p.delayed = append(p.delayed, deliver)
		return false, false
	case 2: // its answer is lost
		return true, false
	case 3: // the sender is paused between its check and the call
		p.timer.Advance(time.Duration(rapid.IntRange(0, 20).Draw(p.t, "pause")) * time.Second)
	}
	return true, true
}

func lost() error { return &point.LostError{Endpoint: "w", Err: context.DeadlineExceeded} }

// Open implements Client.
func (p *placer) Open(ctx context.Context, _ string, in point.Open) (v point.View, err error) {
	before, after := p.drawFault(func() { _, _ = p.engine.Open(ctx, in) })
	if !before {
		return v, lost()
	}
	v, err = p.engine.Open(ctx, in)
	if err == nil {
		p.recordOpen(in.Epoch)
	}
	if !after {
		return point.View{}, lost()
	}
	return v, err
}

// recordOpen checks that no two processes own the endpoint under one epoch.
func (p *placer) recordOpen(epoch uint64) {
	if other := p.opened[epoch]; other != nil && other != p {
		p.t.Fatalf("epoch %d is owned by two processes", epoch)
	}
	p.opened[epoch] = p
}

// Renew implements Client.
func (p *placer) Renew(ctx context.Context, _ string, in point.Renew) (r point.Report, err error) {
	in.Wait = 0
	before, after := p.drawFault(func() { _, _ = p.engine.Renew(ctx, in) })
	if !before {
		return r, lost()
	}
	r, err = p.engine.Renew(ctx, in)
	if !after {
		return point.Report{}, lost()
	}
	return r, err
}

// Release implements Client.
func (p *placer) Release(ctx context.Context, _ string, in point.Owner) error {
	before, after := p.drawFault(func() { _ = p.engine.Release(ctx, in) })
	if !before {
		return lost()
	}
	err := p.engine.Release(ctx, in)
	if !after {
		return lost()
	}
	return err
}

// View implements Client.
func (p *placer) View(ctx context.Context, _ string) (point.View, error) { return p.engine.View(ctx) }

// Abandoned implements Witness.
func (p *placer) Abandoned(context.Context, string) bool {
	span := 2*modelLease + lease.Margin(2*modelLease)
	now := p.timer.Boot()
	for _, o := range p.placers {
		if o == p || now-o.lastActed >= span {
			continue
		}
		if now-o.startedAt < span || o.ownership.ownedSince(now-span) {
			return false
		}
	}
	return true
}

// Opened implements Sink.
func (p *placer) Opened(_ Target, v *point.View) { p.epoch, p.owns = v.Owner.Epoch, true }

// Reported implements Sink.
func (*placer) Reported(Target, *point.Report) {}

// Paused implements Sink.
func (*placer) Paused(Target) {}

// Resumed implements Sink.
func (*placer) Resumed(Target) {}

// Leaving implements Sink.
func (*placer) Leaving(Target) {}

// Lapsed implements Sink. It checks that no task of that epoch or an earlier
// one runs.
func (p *placer) Lapsed(_ Target, epoch uint64) {
	v, err := p.engine.View(context.Background())
	if err != nil {
		p.t.Fatal(err)
	}
	for _, task := range v.Tasks {
		if task.State == point.Running && task.Epoch <= epoch {
			p.t.Fatalf("%s reports the leases as expired while %s runs", p.name, task.ID)
		}
	}
}

// Closed implements Sink.
func (p *placer) Closed(Target) { p.owns = false }

func (p *placer) step() {
	p.lastActed = p.timer.Boot()
	p.ownership.Step(context.Background(), p.want)
	p.lastActed = p.timer.Boot()
}

// start sends one start under the epoch of the last Opened event.
func (p *placer) start() {
	p.lastActed = p.timer.Boot()
	pass, err := p.ownership.Enter(p.epoch)
	if err != nil {
		return
	}
	defer pass.Done()
	p.tasks++
	before, after := p.drawFault(func() {})
	if !before {
		return
	}
	err = p.engine.Start(context.Background(), point.Start{
		Owner: pass.Owner(), ID: fmt.Sprintf("t%d/0", p.tasks), Attempt: 1, Kind: wire.Service, Lease: pass.Lease(),
	})
	if err == nil && after {
		pass.Answered()
	}
	if err == nil && !after {
		// The outcome of a start without an answer is in doubt. The task is
		// stopped here, so that only the leases of the other tasks matter.
		_ = p.engine.Stop(context.Background(), point.Stop{Owner: pass.Owner(), ID: fmt.Sprintf("t%d/0", p.tasks), Attempt: 1, Mode: point.ModeStop})
	}
}

// stopOf returns a stop call with the owner of a pass.
func stopOf(p *Pass) point.Stop {
	return point.Stop{Owner: p.Owner(), ID: "none/0", Attempt: 1, Mode: point.ModeStop}
}
