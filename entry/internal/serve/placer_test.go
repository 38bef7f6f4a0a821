package serve

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/wire"
)

// script says how the fake placer deals with a request.
type script struct {
	refuse  string // reason of a refusal
	before  bool   // break off before Sent
	sent    bool   // break off after Sent
	running bool   // break off while running
	half    bool   // break off in the middle of the answer
	late    bool   // break off after the answer, before the outcome
	short   bool   // leave out a byte
	double  bool   // send the answer's events twice
	foreign bool   // send another request's answer first
	failed  bool   // report that the task failed
	unknown bool   // report an endpoint that was lost
	hang    bool   // wait for a cancellation
	queued  bool   // wait for a cancellation before the start
	answer  []byte
	delay   time.Duration
}

// fakePlacer serves the placer's verbs and counts starts by request.
type fakePlacer struct {
	name string
	zone string
	node *link.Node
	stop context.CancelFunc
	done *errgroup.Group

	mu       sync.Mutex // guards the fields below
	next     []script   // for coming requests, the last one stays
	starts   map[string]int
	requests []wire.Request
	cancels  map[string]chan struct{}
	jobs     map[string]wire.Job
	leaving  bool
	full     bool
	unclear  bool          // runs go on here
	peers    []string      // other placers that it counts as alive
	slots    chan struct{} // if not nil, requests that find no room here are refused
}

// newPlacer runs a fake placer until the test ends.
func newPlacer(t testing.TB, certs link.TLS, name, zone string) *fakePlacer {
	t.Helper()
	p := &fakePlacer{
		name: name, zone: zone, starts: make(map[string]int), cancels: make(map[string]chan struct{}),
		jobs: make(map[string]wire.Job), next: []script{{answer: []byte("fine")}},
	}
	p.node = link.New(name, certs)
	p.node.Handle(wire.VerbPlace, link.HandlerFunc(p.place))
	p.node.Handle(wire.VerbLoad, link.HandlerFunc(p.load))
	p.node.Handle(wire.VerbCancel, link.HandlerFunc(p.cancel))
	p.node.Handle(wire.VerbStatus, link.HandlerFunc(p.status))
	p.node.Handle(wire.VerbSettle, link.HandlerFunc(p.settle))
	is.New(t).NoErr(p.node.Listen("127.0.0.1:0"))
	ctx, cancel := context.WithCancel(context.Background())
	p.stop, p.done = cancel, &errgroup.Group{}
	p.done.Go(func() error { return p.node.Run(ctx) })
	t.Cleanup(p.kill)
	return p
}

// kill ends the placer's process.
func (p *fakePlacer) kill() {
	p.mu.Lock()
	for id, c := range p.cancels {
		close(c)
		delete(p.cancels, id)
	}
	p.mu.Unlock()
	p.stop()
	_ = p.done.Wait()
}

// fill leaves no room for anything.
func (p *fakePlacer) fill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.full = true
}

func (p *fakePlacer) set(next ...script) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next = next
}

// started returns how often the request was started.
func (p *fakePlacer) started(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts[id]
}

func (p *fakePlacer) total() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.starts {
		n += s
	}
	return n
}

// still sets whether runs go on here, and whom else it counts as alive.
func (p *fakePlacer) still(unclear bool, peers ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unclear, p.peers = unclear, peers
}

// settle says that nothing runs here, unless the placer is to say otherwise.
func (p *fakePlacer) settle(_ context.Context, s *link.Stream) error {
	var in wire.Lookup
	if err := s.Recv(&in); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.Send(&wire.Settled{Clear: !p.unclear, Live: append([]string{p.name}, p.peers...)})
}

func (p *fakePlacer) load(_ context.Context, s *link.Stream) error {
	var in wire.Empty
	if err := s.Recv(&in); err != nil {
		return err
	}
	p.mu.Lock()
	l := wire.Load{Name: p.name, Zone: p.zone, Epoch: 1, Leaving: p.leaving}
	if !p.full {
		l.Free = map[wire.Kind]wire.Needs{wire.Quick: {Slots: 8, Conns: 60}, wire.Batch: {CPU: 32000, Mem: 1 << 37}}
	}
	p.mu.Unlock()
	return s.Send(l)
}

func (p *fakePlacer) cancel(_ context.Context, s *link.Stream) error {
	var in wire.Lookup
	if err := s.Recv(&in); err != nil {
		return err
	}
	p.mu.Lock()
	c, ok := p.cancels[in.ID]
	if ok {
		close(c)
		delete(p.cancels, in.ID)
	}
	notRun := ok && p.starts[in.ID] == 0
	p.mu.Unlock()
	return s.Send(wire.Cancelled{Found: ok, NotRun: notRun})
}

func (p *fakePlacer) status(_ context.Context, s *link.Stream) error {
	var in wire.Lookup
	if err := s.Recv(&in); err != nil {
		return err
	}
	p.mu.Lock()
	job := p.jobs[in.ID]
	p.mu.Unlock()
	return s.Send(job)
}

// take returns the script for the next request.
func (p *fakePlacer) take(r wire.Request) (script, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, r)
	sc := p.next[0]
	if len(p.next) > 1 {
		p.next = p.next[1:]
	}
	c := make(chan struct{})
	p.cancels[r.ID] = c
	return sc, c
}

func (p *fakePlacer) start(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.starts[id]++
}

func (p *fakePlacer) place(ctx context.Context, s *link.Stream) error {
	var r wire.Request
	if err := s.Recv(&r); err != nil {
		return err
	}
	sc, cancelled := p.take(r)
	ev := wire.Event{ID: r.ID, Attempt: r.Attempt}
	if p.slots != nil {
		select {
		case p.slots <- struct{}{}:
			defer func() { <-p.slots }()
		default:
			sc.refuse = wire.ReasonBusy
		}
	}
	if sc.refuse != "" {
		ev.Outcome, ev.Reason = wire.NotRun, sc.refuse
		return s.Send(ev)
	}
	ev.Phase = wire.Queued
	if err := s.Send(ev); err != nil {
		return err
	}
	if r.Kind != wire.Quick {
		p.mu.Lock()
		p.jobs[r.ID] = wire.Job{Request: r, Zone: p.zone, Driver: p.name, Phase: wire.Queued}
		p.mu.Unlock()
		return nil
	}
	if sc.before {
		s.Cancel()
		return nil
	}
	if sc.queued {
		<-cancelled
		ev.Outcome, ev.Reason = wire.NotRun, wire.ReasonCancel
		return s.Send(ev)
	}
	return p.run(ctx, s, &r, &sc, cancelled)
}

func (p *fakePlacer) run(ctx context.Context, s *link.Stream, r *wire.Request, sc *script, cancelled chan struct{}) error {
	ev := wire.Event{ID: r.ID, Attempt: r.Attempt, Phase: wire.Sent, Endpoint: "e1"}
	if err := s.Send(ev); err != nil {
		return err
	}
	p.start(r.ID)
	if sc.sent {
		s.Cancel()
		return nil
	}
	ev.Phase = wire.Running
	_ = s.Send(ev)
	if sc.running {
		s.Cancel()
		return nil
	}
	if sc.hang {
		select {
		case <-cancelled:
			return s.Send(wire.Event{ID: r.ID, Attempt: r.Attempt, Outcome: wire.Failed, Reason: wire.ReasonCancel})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if sc.delay > 0 {
		time.Sleep(sc.delay)
	}
	if sc.unknown {
		return s.Send(wire.Event{ID: r.ID, Attempt: r.Attempt, Outcome: wire.Unknown, Reason: wire.ReasonLost, Endpoint: "e1"})
	}
	if sc.failed {
		return s.Send(wire.Event{ID: r.ID, Attempt: r.Attempt, Outcome: wire.Failed, Reason: wire.ReasonError, Code: 3})
	}
	if sc.foreign {
		_ = s.Send(wire.Event{ID: "other", Attempt: r.Attempt, Chunk: []byte("not yours")})
		_ = s.Send(wire.Event{ID: "other", Attempt: r.Attempt, Outcome: wire.Done, Size: 9, Sum: xxhash.Sum64String("not yours")})
		_ = s.Send(wire.Event{ID: r.ID, Attempt: r.Attempt - 1, Outcome: wire.NotRun})
	}
	return p.reply(s, r, sc)
}

func (p *fakePlacer) reply(s *link.Stream, r *wire.Request, sc *script) error {
	const piece = 32 << 10
	for off := 0; off < len(sc.answer); off += piece {
		chunk := sc.answer[off:min(off+piece, len(sc.answer))]
		if sc.short && off+piece >= len(sc.answer) {
			chunk = chunk[:len(chunk)-1]
		}
		if sc.half && off >= len(sc.answer)/2 {
			s.Cancel()
			return nil
		}
		if err := s.Send(wire.Event{ID: r.ID, Attempt: r.Attempt, Chunk: chunk}); err != nil {
			return err
		}
	}
	if sc.half || sc.late {
		s.Cancel()
		return nil
	}
	end := wire.Event{
		ID: r.ID, Attempt: r.Attempt, Outcome: wire.Done, Size: int64(len(sc.answer)), Sum: xxhash.Sum64(sc.answer),
	}
	if err := s.Send(end); err != nil {
		return err
	}
	if sc.double {
		_ = s.Send(wire.Event{ID: r.ID, Attempt: r.Attempt, Chunk: sc.answer})
		_ = s.Send(end)
	}
	return nil
}

// seen returns the requests that have come.
func (p *fakePlacer) seen() []wire.Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requests
}
