package relay

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/balsamford/balsamford/coord/link"
	"github.com/balsamford/balsamford/coord/timer"
	"github.com/balsamford/balsamford/node/internal/board"
)

const (
	verb = "store"
	// minProbeInterval is the time until direct access is probed after it failed. Each
	// failed probe doubles it, up to maxProbeInterval.
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval = 2 * time.Second
	// forwardPause is how long no calls are forwarded after no other host reached the
	// store: it is then unavailable or overloaded for all hosts.
	forwardPause = 300 * time.Millisecond
	// probeTimeout is how long a direct read of one row may take before direct access
	// counts as failed: twice its latency when the store is fifty times slower than usual.
	probeTimeout = 400 * time.Millisecond
)

// Hosts lists the registered hosts.
type Hosts interface {
	Hosts() []board.Host
}

// Relay tracks whether a host reaches the store directly, and makes calls for hosts that
// don't. It may be used concurrently.
type Relay struct {
	host   string
	zone   string
	node   *link.Node
	clock  *timer.Service
	hosts  Hosts
	direct Store
	logger *zap.Logger
	// failures logs forwarded calls that failed.
	failures failureLog
	counts   *counts
	group    errgroup.Group
	done     chan struct{} // closed when Run's context ends

	mu             sync.Mutex           // guards the fields below
	closed         bool                 // no more goroutines may be started
	failing        bool                 // direct access failed while another host reached the store
	changed        chan struct{}        // closed when failing changes
	answeredAt     time.Time            // when the store last decided a direct call
	nextProbe      time.Time            // when direct access is probed again
	probeInterval  time.Duration        // between two probes
	probing        bool                 // a probe is under way
	viaHost        string               // host that last made a call for this one, empty for none
	noForwardUntil time.Time            // no calls are forwarded before that
	failedHosts    map[string]time.Time // when the last call through a host failed, unless a later one didn't
}

// New returns a Relay of host in zone. It forwards its calls and serves those of other
// hosts by node; direct is this host's own access to the store. New has to be called
// before the node listens.
func New(host, zone string, node *link.Node, clock *timer.Service, hosts Hosts, direct Store, logger *zap.Logger, registry metrics.Registry) *Relay {
	r := &Relay{host: host, zone: zone, node: node, clock: clock, hosts: hosts, direct: direct, logger: logger, failures: failureLog{logger: logger, entries: make(map[string]*failureEntry)}, counts: newCounts(registry), done: make(chan struct{}), changed: make(chan struct{}), failedHosts: make(map[string]time.Time)}
	node.Handle(verb, link.HandlerFunc(r.serve))
	return r
}

// Run waits until ctx ends and all calls that are then under way have returned. It always
// returns nil, so that it can run in an errgroup.
func (r *Relay) Run(ctx context.Context) error {
	<-ctx.Done()
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	close(r.done)
	return r.group.Wait()
}

// spawn runs f in a goroutine that Run waits for, or synchronously after ctx of Run has
// ended.
func (r *Relay) spawn(f func()) {
	r.mu.Lock()
	closed := r.closed
	if !closed {
		r.group.Go(func() error { f(); return nil })
	}
	r.mu.Unlock()
	if closed {
		f()
	}
}

// serve makes a direct call for another host. It refuses while direct access fails, since
// a forwarded call must not be forwarded again.
func (r *Relay) serve(_ context.Context, s *link.Stream) error {
	var req request
	if err := s.Recv(&req); err != nil {
		return err
	}
	if r.bypassing() {
		return s.Send(&response{Outcome: refused})
	}
	resp := responseOf(execute(r.direct, &req))
	r.noteDirect(&resp)
	r.counts.served.Inc(1)
	return s.Send(&resp)
}

// bypassing reports whether calls are sent through other hosts first, since direct access
// fails. It starts a probe of direct access when one is due.
func (r *Relay) bypassing() bool {
	r.mu.Lock()
	failing := r.failing
	due := failing && !r.probing && !r.clock.Now().Before(r.nextProbe)
	r.probing = r.probing || due
	r.mu.Unlock()
	if due {
		r.spawn(r.probeDirect)
	}
	return failing
}

// setFailing sets whether direct access fails and wakes those who wait for a change of it.
// The relay's mu is held.
func (r *Relay) setFailing(failing bool) {
	if r.failing == failing {
		return
	}
	r.failing = failing
	close(r.changed)
	r.changed = make(chan struct{})
}

// accessChange returns a channel that is closed when direct access next fails or works
// again.
func (r *Relay) accessChange() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// readProbe reads one small row directly.
func (r *Relay) readProbe() response {
	return responseOf(r.direct.Read(board.Table, board.Main, board.OwnerKey, board.OwnerKey+"\x00"))
}

// storeAnswers reports whether the store answers a direct read within probeTimeout, as a
// slow store does.
func (r *Relay) storeAnswers() bool {
	answered := make(chan bool, 1)
	r.spawn(func() {
		resp := r.readProbe()
		answered <- resp.final()
	})
	timeout := make(chan struct{})
	t := r.clock.After(probeTimeout, func() { close(timeout) })
	defer t.Stop()
	select {
	case ok := <-answered:
		return ok
	case <-timeout:
		return false
	case <-r.done: // The clock may have stopped, too.
		return false
	}
}

// probeDirect checks whether direct access works again.
func (r *Relay) probeDirect() {
	resp := r.readProbe()
	r.mu.Lock()
	r.probing = false
	r.mu.Unlock()
	r.noteDirect(&resp)
}

// noteDirect updates the state of direct access from the response to a direct call.
func (r *Relay) noteDirect(resp *response) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if resp.final() {
		if r.failing {
			r.logger.Info("direct access to the store restored", zap.String("through", r.viaHost))
		}
		r.setFailing(false)
		r.probeInterval, r.viaHost, r.answeredAt = 0, "", r.clock.Now()
		return
	}
	if r.failing {
		r.probeInterval = min(maxProbeInterval, 2*r.probeInterval)
	} else {
		r.probeInterval = minProbeInterval
	}
	r.nextProbe = r.clock.Now().Add(r.probeInterval)
}

// noteForwarded notes that host made a call for this one. FailedAt is when a direct call
// failed before, or should have been answered; it is zero if there was none. Direct access
// counts as failing only if no direct call was answered later.
func (r *Relay) noteForwarded(host string, failedAt time.Time) {
	r.counts.passed.Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failing {
		if !failedAt.After(r.answeredAt) {
			return
		}
		r.setFailing(true)
		r.probeInterval = minProbeInterval
		r.nextProbe = r.clock.Now().Add(r.probeInterval)
		r.logger.Warn("direct access to the store failed, calls are forwarded", zap.String("through", host))
		r.counts.bypassed.Inc(1)
	}
	r.viaHost, r.noForwardUntil = host, time.Time{}
}

// noteUnreachable notes that none of the other hosts tried reached the store. Later calls
// are made directly first again, since other hosts are no better. If none were tried, that
// says nothing.
func (r *Relay) noteUnreachable(tried int) {
	if tried == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failing {
		r.logger.Warn("store unreachable through other hosts", zap.String("last", r.viaHost))
	}
	r.setFailing(false)
	r.viaHost, r.noForwardUntil = "", r.clock.Now().Add(forwardPause)
}

// forwardTo has one host make a call. After a *link.DialError the request was not sent;
// after any other error it may have been carried out.
func (r *Relay) forwardTo(h board.Host, req *request, timeout time.Duration) (response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var resp response
	if err := r.node.Call(ctx, h.Link, verb, req, &resp); err != nil {
		return resp, err
	}
	return resp, nil
}

// Client returns a Client that uses direct for its direct calls.
func (r *Relay) Client(direct Store) *Client {
	return &Client{relay: r, direct: direct}
}
