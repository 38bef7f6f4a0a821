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
	// failureBackoff is how long a host gets no requests after a call to it has failed, or its
	// call to the adviser.
	failureBackoff = 2 * time.Second
	// busyBackoff is how long a host gets no requests after the adviser refused its call since
	// too many wait. The adviser answers some calls meanwhile.
	busyBackoff = time.Second
	// busyTolerance is by how much a host may be occupied for longer than the caller knows to
	// accept a request all the same.
	busyTolerance = 250 * time.Millisecond
	// maxAttempts bounds the hosts that one request is sent to, since some may be occupied by
	// requests of an earlier owner.
	maxAttempts = 3
)

// adviseRequest asks another host to call the adviser.
type adviseRequest struct {
	Job       string        `cbor:"1,keyasint"`
	Occur     int           `cbor:"2,keyasint,omitempty"`
	Step      int           `cbor:"3,keyasint,omitempty"`
	Executors []string      `cbor:"4,keyasint"`
	Timeout   time.Duration `cbor:"5,keyasint"`
	Estimate  time.Duration `cbor:"6,keyasint,omitempty"` // 0 from earlier programs, which don't know occupied
	Wait      time.Duration `cbor:"7,keyasint,omitempty"` // for which the caller expects the host to be occupied
}

// adviseResponse is the adviser's answer as the other host returns it.
type adviseResponse struct {
	Tickets  map[string]string `cbor:"1,keyasint"`
	Valid    time.Duration     `cbor:"2,keyasint"`
	Occupied time.Duration     `cbor:"3,keyasint,omitempty"` // not 0 if the request was refused: the host is occupied for that long
}

// Adviser calls the placement adviser from this host.
type Adviser interface {
	Ask(step model.StepID, executors []string, timeout time.Duration) (*platform.Advice, error)
}

// Hosts lists the hosts of a cell.
type Hosts interface{ Hosts() []board.Host }

// Balancer spreads requests to the adviser over the hosts of a cell. It may be used
// concurrently.
type Balancer struct {
	host    string
	node    *link.Node
	adviser Adviser
	clock   *timer.Service
	hosts   Hosts

	mu     sync.Mutex        // guards the fields below
	queues map[string]*queue // by host: the requests that this host has sent to it
	own    queue             // the calls of this host, also those for other hosts
}

// New returns the Balancer of host, which calls other hosts and serves their requests by
// node. New has to be called before the node listens.
func New(host string, node *link.Node, adviser Adviser, clock *timer.Service, hosts Hosts) *Balancer {
	b := &Balancer{host: host, node: node, adviser: adviser, clock: clock, hosts: hosts, queues: make(map[string]*queue)}
	node.Handle(verb, link.HandlerFunc(b.serve))
	return b
}

// Ask sends a request that is expected to take estimate to the adviser, through the host
// that is free first. The error is a *BusyError if no host is free soon, or that of the
// call.
func (b *Balancer) Ask(step model.StepID, executors []string, estimate time.Duration) (*platform.Advice, error) {
	for range maxAttempts {
		p, ok := b.pick(estimate)
		if !ok {
			break
		}
		if p.host.Name == b.host {
			return b.call(p.number, step, executors, p.due.Sub(b.clock.Now())+responseMargin)
		}
		advice, occupied, err := b.forward(p, step, executors, estimate)
		if occupied == 0 {
			return advice, err
		}
	}
	return nil, &BusyError{}
}

// forward sends a request to the host on which it is booked. It returns for how long the host is
// occupied if it refused the request for that reason, and 0 otherwise.
func (b *Balancer) forward(p place, step model.StepID, executors []string, estimate time.Duration) (*platform.Advice, time.Duration, error) {
	now := b.clock.Now()
	timeout := p.due.Sub(now) + responseMargin
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req := adviseRequest{
		Job: step.Job, Occur: step.Occur, Step: step.Step, Executors: executors, Timeout: timeout, Estimate: estimate,
		Wait: max(0, p.due.Sub(now)-estimate),
	}
	var resp adviseResponse
	err := b.node.Call(ctx, p.host.Link, verb, &req, &resp)
	b.mu.Lock()
	defer b.mu.Unlock()
	now, q := b.clock.Now(), b.queues[p.host.Name]
	q.done(now, p.number) // A host tells by itself if the call goes on after a failure.
	switch {
	case err != nil:
		q.fail(now, err)
		return nil, 0, err
	case resp.Occupied > 0:
		q.occupy(now.Add(resp.Occupied))
		return nil, resp.Occupied, nil
	}
	return &platform.Advice{Tickets: resp.Tickets, Valid: resp.Valid}, 0, nil
}

// place is a host with the booking of a request on it.
type place struct {
	host   board.Host
	number int       // of the booking
	due    time.Time // when the request is expected to be done
}

// pick books a request on the host that is free first, if possible on one to which no call has failed
// lately. It returns false if all hosts are occupied beyond maxBacklog, or the adviser has refused
// calls of all of them.
func (b *Balancer) pick(estimate time.Duration) (place, bool) {
	hosts := b.hosts.Hosts()
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	best, first := board.Host{Name: b.host}, &b.own
	for _, h := range hosts {
		if h.Name == b.host {
			continue
		}
		q := b.queues[h.Name]
		if q == nil {
			q = &queue{}
			b.queues[h.Name] = q
		}
		if q.before(first, now) {
			best, first = h, q
		}
	}
	if first.busy.After(now) || first.freeAt(now).Sub(now) > maxBacklog {
		return place{}, false
	}
	number, due := first.book(now, estimate)
	return place{host: best, number: number, due: due}, true
}

// call calls the adviser from this host, on which the call is booked under number.
func (b *Balancer) call(number int, step model.StepID, executors []string, timeout time.Duration) (*platform.Advice, error) {
	advice, err := b.adviser.Ask(step, executors, timeout)
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.own.done(now, number)
	if err != nil {
		b.own.fail(now, err)
		return nil, err
	}
	return advice, nil
}

// serve calls the adviser for another host, unless calls for an earlier owner or of this host
// occupy this host for longer than the caller knows.
func (b *Balancer) serve(_ context.Context, s *link.Stream) error {
	var req adviseRequest
	if err := s.Recv(&req); err != nil {
		return err
	}
	b.mu.Lock()
	now := b.clock.Now()
	occupied := b.own.freeAt(now).Sub(now)
	if req.Estimate > 0 && occupied > req.Wait+busyTolerance {
		b.mu.Unlock()
		return s.Send(&adviseResponse{Occupied: occupied})
	}
	number, _ := b.own.book(now, req.Estimate)
	b.mu.Unlock()
	advice, err := b.call(number, model.StepID{Job: req.Job, Occur: req.Occur, Step: req.Step}, req.Executors, req.Timeout)
	if err != nil {
		return &link.RemoteError{Code: errorCode(err), Text: err.Error()}
	}
	return s.Send(&adviseResponse{Tickets: advice.Tickets, Valid: advice.Valid})
}
