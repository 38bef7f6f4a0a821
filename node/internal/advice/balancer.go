package advice

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
	// responseMargin is how long a response is awaited beyond its expected time.
	responseMargin = time.Second
	// maxBacklog is how far ahead a host may be booked to get another request. After a
	// longer wait, the tickets would come too late to be of use.
	maxBacklog = 3 * time.Second
	// failureBackoff is how long a host gets no requests after a failed call to it.
	failureBackoff = 2 * time.Second
)

// adviseRequest asks another host to call the adviser.
type adviseRequest struct {
	Job       string        `cbor:"1,keyasint"`
	Occur     int           `cbor:"2,keyasint,omitempty"`
	Step      int           `cbor:"3,keyasint,omitempty"`
	Executors []string      `cbor:"4,keyasint"`
	Timeout   time.Duration `cbor:"5,keyasint"`
}

// adviseResponse is the adviser's answer as the other host returns it.
type adviseResponse struct {
	Tickets map[string]string `cbor:"1,keyasint"`
	Valid   time.Duration     `cbor:"2,keyasint"`
}

// Adviser calls the placement adviser from this host.
type Adviser interface {
	Ask(step model.StepID, executors []string, timeout time.Duration) (*platform.Advice, error)
}

// Balancer spreads requests to the adviser over the hosts of a cell. It may be used
// concurrently.
type Balancer struct {
	host    string
	node    *link.Node
	adviser Adviser
	clock   *timer.Service
	board   *board.Board

	mu        sync.Mutex           // guards busyUntil
	busyUntil map[string]time.Time // by host: when its last request is expected to be done
}

// New returns the Balancer of host, which calls other hosts and serves their requests by
// node. New has to be called before the node listens.
func New(host string, node *link.Node, adviser Adviser, clock *timer.Service, hosts *board.Board) *Balancer {
	b := &Balancer{host: host, node: node, adviser: adviser, clock: clock, board: hosts, busyUntil: make(map[string]time.Time)}
	node.Handle(verb, link.HandlerFunc(b.serve))
	return b
}

// Ask sends a request that is expected to take estimate to the adviser, through the host
// that is free first. The error is a *BusyError if no host is free soon, or that of the
// call.
func (b *Balancer) Ask(step model.StepID, executors []string, estimate time.Duration) (*platform.Advice, error) {
	host, due, ok := b.pick(estimate)
	if !ok {
		return nil, &BusyError{}
	}
	timeout := due.Sub(b.clock.Now()) + responseMargin
	if host.Name == b.host {
		return b.adviser.Ask(step, executors, timeout)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req := adviseRequest{Job: step.Job, Occur: step.Occur, Step: step.Step, Executors: executors, Timeout: timeout}
	var resp adviseResponse
	if err := b.node.Call(ctx, host.Link, verb, &req, &resp); err != nil {
		b.mu.Lock()
		b.busyUntil[host.Name] = b.clock.Now().Add(failureBackoff)
		b.mu.Unlock()
		return nil, err
	}
	return &platform.Advice{Tickets: resp.Tickets, Valid: resp.Valid}, nil
}

// pick books a request on the host that is free first. It returns that host and when the
// request is expected to be done, or false if all hosts are booked beyond maxBacklog.
func (b *Balancer) pick(estimate time.Duration) (board.Host, time.Time, bool) {
	hosts := b.board.Hosts()
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	best := board.Host{Name: b.host}
	start := maxTime(now, b.busyUntil[b.host])
	for _, h := range hosts {
		if at := maxTime(now, b.busyUntil[h.Name]); at.Before(start) {
			best, start = h, at
		}
	}
	if start.Sub(now) > maxBacklog {
		return best, start, false
	}
	b.busyUntil[best.Name] = start.Add(estimate)
	return best, start.Add(estimate), true
}

func maxTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}

// serve calls the adviser for another host.
func (b *Balancer) serve(_ context.Context, s *link.Stream) error {
	var req adviseRequest
	if err := s.Recv(&req); err != nil {
		return err
	}
	advice, err := b.adviser.Ask(model.StepID{Job: req.Job, Occur: req.Occur, Step: req.Step}, req.Executors, req.Timeout)
	if err != nil {
		return err
	}
	return s.Send(&adviseResponse{Tickets: advice.Tickets, Valid: advice.Valid})
}
