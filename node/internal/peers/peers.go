package peers

import (
	"context"
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/model"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
	"github.com/balsamford/balsamford/platform"
)

const (
	verb = "advise"
	// answerMargin is how much longer than it should take an answer is waited for.
	answerMargin = time.Second
	// maxQueue is how much work a host may have before it when a question is
	// given to it: tickets would come too late to be of use.
	maxQueue = 3 * time.Second
	// restTime is how long a host that failed isn't asked.
	restTime = 2 * time.Second
)

// question is what is sent to another host.
type question struct {
	Job       string        `cbor:"1,keyasint"`
	Occur     int           `cbor:"2,keyasint,omitempty"`
	Step      int           `cbor:"3,keyasint,omitempty"`
	Executors []string      `cbor:"4,keyasint"`
	Timeout   time.Duration `cbor:"5,keyasint"`
}

// answer is what comes back.
type answer struct {
	Tickets map[string]string `cbor:"1,keyasint"`
	Valid   time.Duration     `cbor:"2,keyasint"`
}

// Adviser asks the placement adviser from this host.
type Adviser interface {
	Ask(step model.StepID, executors []string, timeout time.Duration) (*platform.Advice, error)
}

// Peers spreads questions over hosts. It may be used concurrently.
type Peers struct {
	host    string
	node    *link.Node
	adviser Adviser
	clock   *timer.Service
	board   *board.Board

	mu   sync.Mutex           // guards busy
	busy map[string]time.Time // until when each host's turn is taken
}

// New returns Peers of host, which serves others' questions by node.
func New(host string, node *link.Node, adviser Adviser, clock *timer.Service, b *board.Board) *Peers {
	p := &Peers{host: host, node: node, adviser: adviser, clock: clock, board: b, busy: make(map[string]time.Time)}
	node.Handle(verb, link.HandlerFunc(p.serve))
	return p
}

// Ask returns the adviser's answer to a question that should take takes.
func (p *Peers) Ask(step model.StepID, executors []string, takes time.Duration) (*platform.Advice, error) {
	host, ready, ok := p.pick(takes)
	if !ok {
		return nil, &BusyError{}
	}
	timeout := ready.Sub(p.clock.Now()) + answerMargin
	if host.Name == p.host {
		return p.adviser.Ask(step, executors, timeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	q := question{Job: step.Job, Occur: step.Occur, Step: step.Step, Executors: executors, Timeout: timeout}
	var a answer
	if err := p.node.Call(ctx, host.Link, verb, &q, &a); err != nil {
		p.mu.Lock()
		p.busy[host.Name] = p.clock.Now().Add(restTime)
		p.mu.Unlock()
		return nil, err
	}
	return &platform.Advice{Tickets: a.Tickets, Valid: a.Valid}, nil
}

// pick returns the host whose turn comes first and when it should have answered.
func (p *Peers) pick(takes time.Duration) (board.Host, time.Time, bool) {
	hosts := p.board.Hosts()
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	best := board.Host{Name: p.host}
	from := maxTime(now, p.busy[p.host])
	for _, h := range hosts {
		if at := maxTime(now, p.busy[h.Name]); at.Before(from) {
			best, from = h, at
		}
	}
	if from.Sub(now) > maxQueue {
		return best, from, false
	}
	p.busy[best.Name] = from.Add(takes)
	return best, from.Add(takes), true
}

func maxTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// serve answers another host's question.
func (p *Peers) serve(_ context.Context, s *link.Stream) error {
	var q question
	if err := s.Recv(&q); err != nil {
		return err
	}
	advice, err := p.adviser.Ask(model.StepID{Job: q.Job, Occur: q.Occur, Step: q.Step}, q.Executors, q.Timeout)
	if err != nil {
		return err
	}
	return s.Send(&answer{Tickets: advice.Tickets, Valid: advice.Valid})
}
