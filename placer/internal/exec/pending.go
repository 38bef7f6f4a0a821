package exec

import (
	"sync"

	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/placer/internal/desk"
)

// pending is a start of an idempotent request that may still begin: it may
// wait in the socket of an endpoint that is suspended.
type pending struct {
	request string
	address string
	stop    point.Stop // keeps the attempt from beginning
	order   desk.Order
	given   bool // its run was given up; guarded by the ledger's lock
}

// ledger has the starts that may still begin. An endpoint's room stays taken
// for each of them, which bounds their number. All methods may be called
// concurrently.
type ledger struct {
	mu     sync.Mutex // guards starts
	starts map[string]map[*pending]struct{}
}

func newLedger() *ledger { return &ledger{starts: make(map[string]map[*pending]struct{})} }

func (l *ledger) add(p *pending) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.starts[p.request] == nil {
		l.starts[p.request] = make(map[*pending]struct{})
	}
	l.starts[p.request][p] = struct{}{}
}

// drop forgets a start whose fate is known. It does nothing for nil.
func (l *ledger) drop(p *pending) {
	if p == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.starts[p.request], p)
	if len(l.starts[p.request]) == 0 {
		delete(l.starts, p.request)
	}
}

// giveUp notes that no run looks for the start's fate any more.
func (l *ledger) giveUp(p *pending) {
	if p == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	p.given = true
}

// of returns the starts of a request.
func (l *ledger) of(request string) []*pending {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*pending, 0, len(l.starts[request]))
	for p := range l.starts[request] {
		out = append(out, p)
	}
	return out
}

// givenUp returns the starts of all requests whose runs were given up.
func (l *ledger) givenUp() []*pending {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []*pending
	for _, set := range l.starts {
		for p := range set {
			if p.given {
				out = append(out, p)
			}
		}
	}
	return out
}
