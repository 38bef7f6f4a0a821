package relay

import (
	"context"
	"slices"
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
	// firstDetour is for how long calls go through another host after the own way
	// failed, until it is tried again; each vain try doubles it up to mostDetour.
	firstDetour = 500 * time.Millisecond
	mostDetour  = 2 * time.Second
	// vainTime is how long other hosts aren't asked after none of them reached the
	// store: it is away or overloaded for all.
	vainTime = 300 * time.Millisecond
	// answerTime is how long a small read may take until the own way counts as dead:
	// twice what it takes when the store is fifty times as slow as usual.
	answerTime = 400 * time.Millisecond
)

// Hosts tells which hosts there are.
type Hosts interface {
	Hosts() []board.Host
}

// Relay is a host's knowledge of its ways to the store. It may be used
// concurrently.
type Relay struct {
	host   string
	zone   string
	node   *link.Node
	clock  *timer.Service
	hosts  Hosts
	own    Store
	logger *zap.Logger
	counts *counts
	group  errgroup.Group

	mu      sync.Mutex    // guards the fields below
	closed  bool          // no goroutine is started any more
	failing bool          // the own way failed last
	again   time.Time     // when it is tried next
	detour  time.Duration // between two tries
	trying  bool          // a try is under way
	helper  string        // host that served last, empty for none
	vain    time.Time     // until when other hosts aren't asked
}

// New returns a Relay of host in zone, which makes and serves calls by node. own
// is its own way to the store.
func New(host, zone string, node *link.Node, clock *timer.Service, hosts Hosts, own Store, logger *zap.Logger, registry metrics.Registry) *Relay {
	r := &Relay{host: host, zone: zone, node: node, clock: clock, hosts: hosts, own: own, logger: logger, counts: newCounts(registry)}
	node.Handle(verb, link.HandlerFunc(r.serve))
	return r
}

// Run waits until ctx ends and all calls that are under way then have ended. It
// always returns nil, so that it can be a member of a group.
func (r *Relay) Run(ctx context.Context) error {
	<-ctx.Done()
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	return r.group.Wait()
}

// spawn runs f in the relay's group, or here if that has ended.
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

// serve makes another host's call by this host's own way.
func (r *Relay) serve(_ context.Context, s *link.Stream) error {
	var q question
	if err := s.Recv(&q); err != nil {
		return err
	}
	if r.astray() {
		return s.Send(&answer{Outcome: refused})
	}
	a := answerOf(ask(r.own, &q))
	r.note(&a)
	r.counts.served.Inc(1)
	return s.Send(&a)
}

// astray reports whether calls go through other hosts. Now and then it has the own
// way tried beside that.
func (r *Relay) astray() bool {
	r.mu.Lock()
	failing := r.failing
	due := failing && !r.trying && !r.clock.Now().Before(r.again)
	r.trying = r.trying || due
	r.mu.Unlock()
	if due {
		r.spawn(r.try)
	}
	return failing
}

// probe makes a read of one small row by the own way.
func (r *Relay) probe() answer {
	return answerOf(r.own.Read(board.Table, board.Main, board.OwnerKey, board.OwnerKey+"\x00"))
}

// answers reports whether the store answers by the own way, however slowly.
func (r *Relay) answers() bool {
	got := make(chan bool, 1)
	r.spawn(func() {
		a := r.probe()
		got <- a.final()
	})
	late := make(chan struct{})
	t := r.clock.After(answerTime, func() { close(late) })
	defer t.Stop()
	select {
	case ok := <-got:
		return ok
	case <-late:
		return false
	}
}

// try finds out whether the own way works again.
func (r *Relay) try() {
	a := r.probe()
	r.mu.Lock()
	r.trying = false
	r.mu.Unlock()
	r.note(&a)
}

// note learns from how a call by the own way ended.
func (r *Relay) note(a *answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.final() {
		if r.failing {
			r.logger.Info("store is reached again", zap.String("through", r.helper))
		}
		r.failing, r.detour, r.helper = false, 0, ""
		return
	}
	if r.failing {
		r.detour = min(mostDetour, 2*r.detour)
	} else {
		r.detour = firstDetour
	}
	r.again = r.clock.Now().Add(r.detour)
}

// divert notes that helper reached the store while the own way failed.
func (r *Relay) divert(helper string) {
	r.counts.passed.Inc(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.failing {
		r.failing, r.detour = true, firstDetour
		r.again = r.clock.Now().Add(r.detour)
		r.logger.Warn("store is reached through another host", zap.String("through", helper))
	}
	r.helper = helper
}

// lost notes that no host could reach the store: the own way is as good as any.
func (r *Relay) lost() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failing {
		r.logger.Warn("store isn't reached through any host", zap.String("last", r.helper))
	}
	r.failing, r.helper, r.vain = false, "", r.clock.Now().Add(vainTime)
}

// helpers returns up to n hosts to ask: the one that served last, those of the own
// zone, others; in no particular order.
func (r *Relay) helpers(n int) []board.Host {
	r.mu.Lock()
	last, vain := r.helper, r.vain
	r.mu.Unlock()
	if r.clock.Now().Before(vain) {
		return nil
	}
	hosts := slices.DeleteFunc(r.hosts.Hosts(), func(h board.Host) bool { return h.Name == r.host })
	rank := func(h board.Host) int {
		switch {
		case h.Name == last:
			return 0
		case h.Zone == r.zone:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(hosts, func(a, b board.Host) int { return rank(a) - rank(b) })
	return hosts[:min(n, len(hosts))]
}

// pass asks one host to make a call. The error tells a question that surely wasn't
// received from one that may have been carried out.
func (r *Relay) pass(h board.Host, q *question, timeout time.Duration) (answer, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var a answer
	if err := r.node.Call(ctx, h.Link, verb, q, &a); err != nil {
		return a, err
	}
	return a, nil
}

// Client returns a client of the store whose own calls go by direct.
func (r *Relay) Client(direct Store) *Client {
	return &Client{relay: r, direct: direct}
}
