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

// script determines how the fake placer handles a request. The lose fields
// break the stream at that point.
type script struct {
	refuse              string // if set, refuse the request for this reason
	loseBeforeSent      bool   // before the Sent event
	loseAfterSent       bool   // after the Sent event
	loseWhileRunning    bool   // after the Running event
	loseMidAnswer       bool   // in the middle of the answer
	loseBeforeOutcome   bool   // after the answer, before the outcome
	truncate            bool   // omit the answer's last byte
	duplicate           bool   // send the events of the answer twice
	foreign             bool   // first send events of another request and attempt
	failed              bool   // report that the task failed
	unknown             bool   // report that the endpoint was lost
	runUntilCancelled   bool   // run until cancelled
	queueUntilCancelled bool   // stay queued until cancelled
	answer              []byte
	delay               time.Duration
}

// fakePlacer serves the placer's verbs and counts the starts of each request.
type fakePlacer struct {
	name string
	zone string
	node *link.Node
	stop context.CancelFunc
	done *errgroup.Group

	mu       sync.Mutex // guards the fields below
	scripts  []script   // for successive requests; the last one is reused
	starts   map[string]int
	requests []wire.Request
	cancels  map[string]chan struct{}
	jobs     map[string]wire.Job
	leaving  bool
	full     bool
	mayRun   bool          // a run may still be in progress
	peers    []string      // other placers that it reports as live
	slots    chan struct{} // if not nil, a request is refused when the channel is full
}

// newPlacer starts a fake placer that runs until the test ends.
func newPlacer(t testing.TB, certs link.TLS, name, zone string) *fakePlacer {
	t.Helper()
	p := &fakePlacer{
		name: name, zone: zone, starts: make(map[string]int), cancels: make(map[string]chan struct{}),
		jobs: make(map[string]wire.Job), scripts: []script{{answer: []byte("fine")}},
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

// kill stops the placer.
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

// setFull makes the placer report no free capacity.
func (p *fakePlacer) setFull() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.full = true
}

// setScripts sets the scripts for the next requests.
func (p *fakePlacer) setScripts(scripts ...script) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scripts = scripts
}

// started returns how often the request was started.
func (p *fakePlacer) started(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts[id]
}

// total returns the number of starts of all requests.
func (p *fakePlacer) total() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, s := range p.starts {
		n += s
	}
	return n
}

// setRunning sets whether the placer reports that a run may still be in
// progress, and the other placers that it reports as live.
func (p *fakePlacer) setRunning(mayRun bool, peers ...string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mayRun, p.peers = mayRun, peers
}

// settle serves wire.VerbSettle with the values from setRunning.
func (p *fakePlacer) settle(_ context.Context, s *link.Stream) error {
	var in wire.Lookup
	if err := s.Recv(&in); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.Send(&wire.Settled{Clear: !p.mayRun, Live: append([]string{p.name}, p.peers...)})
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

// take records a request and returns its script and the channel that is closed
// when it is cancelled.
func (p *fakePlacer) take(r wire.Request) (script, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requests = append(p.requests, r)
	sc := p.scripts[0]
	if len(p.scripts) > 1 {
		p.scripts = p.scripts[1:]
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
	if sc.loseBeforeSent {
		s.Cancel()
		return nil
	}
	if sc.queueUntilCancelled {
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
	if sc.loseAfterSent {
		s.Cancel()
		return nil
	}
	ev.Phase = wire.Running
	_ = s.Send(ev)
	if sc.loseWhileRunning {
		s.Cancel()
		return nil
	}
	if sc.runUntilCancelled {
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
		if sc.truncate && off+piece >= len(sc.answer) {
			chunk = chunk[:len(chunk)-1]
		}
		if sc.loseMidAnswer && off >= len(sc.answer)/2 {
			s.Cancel()
			return nil
		}
		if err := s.Send(wire.Event{ID: r.ID, Attempt: r.Attempt, Chunk: chunk}); err != nil {
			return err
		}
	}
	if sc.loseMidAnswer || sc.loseBeforeOutcome {
		s.Cancel()
		return nil
	}
	end := wire.Event{
		ID: r.ID, Attempt: r.Attempt, Outcome: wire.Done, Size: int64(len(sc.answer)), Sum: xxhash.Sum64(sc.answer),
	}
	if err := s.Send(end); err != nil {
		return err
	}
	if sc.duplicate {
		_ = s.Send(wire.Event{ID: r.ID, Attempt: r.Attempt, Chunk: sc.answer})
		_ = s.Send(end)
	}
	return nil
}

// received returns all requests received so far.
func (p *fakePlacer) received() []wire.Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.requests
}
