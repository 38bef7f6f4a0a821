package fence

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"github.com/balsamford/balsamford/coord/lease"
	"github.com/balsamford/balsamford/coord/point"
	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/placer/internal/hold"
)

// tableName is the platform's table of terms, by endpoint.
const tableName = "owner"

// Table is the platform's table; a *store.Client is one.
type Table interface {
	Get(ctx context.Context, table, key string) (store.Row, error)
	Commit(ctx context.Context, ops []store.Op) error
}

// Clock reads a clock that goes on while the process is suspended.
type Clock interface {
	Boot() time.Duration
}

// Others asks every other placer of the zone for a promise.
type Others interface {
	// Promise reports whether all of them promised not to take the endpoint's
	// term for that long from now on.
	Promise(ctx context.Context, endpoint string, length time.Duration) bool
}

// Guard implements hold.Fencer. All methods may be called concurrently.
type Guard struct {
	table  Table
	clock  Clock
	others Others
	term   time.Duration

	mu     sync.Mutex // guards states and what they hold
	states map[string]*state
}

// state is what is known of one endpoint's row.
type state struct {
	version  uint64        // of the row as last seen
	seen     time.Duration // when that version was first seen
	promised time.Duration // until when it is left to its owner
	taking   bool          // a write that takes it is under way
	owned    bool
}

// row is the content of an endpoint's row.
type row struct {
	Owner    point.Owner   `json:"owner"`
	Term     time.Duration `json:"term"`
	Released bool          `json:"released,omitempty"`
}

// New returns a Guard that grants terms of the given length.
func New(t Table, c Clock, o Others, term time.Duration) *Guard {
	return &Guard{table: t, clock: c, others: o, term: term, states: make(map[string]*state)}
}

func (g *Guard) stateLocked(endpoint string) *state {
	s := g.states[endpoint]
	if s == nil {
		s = new(state)
		g.states[endpoint] = s
	}
	return s
}

// Promise promises another placer not to take the endpoint's term for that
// long, and reports false if this placer has it or may be taking it.
func (g *Guard) Promise(endpoint string, length time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stateLocked(endpoint)
	if s.taking || s.owned {
		return false
	}
	s.promised = max(s.promised, g.clock.Boot()+length+lease.Margin(length))
	return true
}

// Permit implements hold.Fencer.
func (g *Guard) Permit(ctx context.Context, endpoint string, o point.Owner) (lease.Term, bool) {
	if !g.begin(endpoint) {
		return lease.Term{}, false
	}
	term, ok := g.take(ctx, endpoint, o)
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stateLocked(endpoint)
	s.taking, s.owned = false, ok
	return term, ok
}

// begin reports whether no promise stands against taking the endpoint, and
// gives none from then on.
func (g *Guard) begin(endpoint string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stateLocked(endpoint)
	if s.taking || g.clock.Boot() < s.promised {
		return false
	}
	s.taking = true
	return true
}

func (g *Guard) take(ctx context.Context, endpoint string, o point.Owner) (lease.Term, bool) {
	version, content, err := g.read(ctx, endpoint)
	if err != nil {
		return lease.Term{}, false
	}
	if version > 0 && !content.Released && !g.waited(endpoint, version, content.Term) {
		return lease.Term{}, false
	}
	term, err := g.write(ctx, endpoint, version, row{Owner: o, Term: g.term})
	return term, err == nil
}

// waited reports whether a row has stood unchanged for a whole term.
func (g *Guard) waited(endpoint string, version uint64, term time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stateLocked(endpoint)
	now := g.clock.Boot()
	if s.version != version {
		s.version, s.seen = version, now
		return false
	}
	return now-s.seen >= term+lease.Margin(term)
}

func (g *Guard) read(ctx context.Context, endpoint string) (uint64, row, error) {
	r, err := g.table.Get(ctx, tableName, endpoint)
	var missing *store.MissingError
	if errors.As(err, &missing) {
		return 0, row{}, nil
	}
	if err != nil {
		return 0, row{}, err
	}
	var content row
	err = json.Unmarshal(r.Value, &content)
	return r.Version, content, err
}

// write writes the row if it still has the version. The term counts from
// before it is sent, also if its answer is lost and it is found by reading.
func (g *Guard) write(ctx context.Context, endpoint string, version uint64, content row) (lease.Term, error) {
	value, err := json.Marshal(&content)
	if err != nil {
		return lease.Term{}, err
	}
	sent := g.clock.Boot()
	op := store.Op{Table: tableName, Key: endpoint, Expect: version, Value: value, Action: store.Put}
	err = g.table.Commit(ctx, []store.Op{op})
	now := version + 1
	if err != nil {
		got, found, readErr := g.read(ctx, endpoint)
		if readErr != nil || found != content || got != version+1 {
			return lease.Term{}, err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stateLocked(endpoint)
	s.version, s.seen = now, g.clock.Boot()
	return lease.NewTerm(sent, content.Term), nil
}

// Renew implements hold.Fencer.
func (g *Guard) Renew(ctx context.Context, endpoint string, o point.Owner) (lease.Term, error) {
	g.mu.Lock()
	version := g.stateLocked(endpoint).version
	g.mu.Unlock()
	content := row{Owner: o, Term: g.term}
	term, err := g.write(ctx, endpoint, version, content)
	if err == nil {
		return term, nil
	}
	var conflict *store.ConflictError
	if errors.As(err, &conflict) {
		return lease.Term{}, g.conflict(endpoint, o, &conflict.Row, err)
	}
	sent := g.clock.Boot()
	if g.others.Promise(ctx, endpoint, g.term) {
		return lease.NewTerm(sent, g.term), nil
	}
	return lease.Term{}, err
}

// conflict takes over the version that a write of this owner left whose
// answer was lost; any other content means that the term is another's.
func (g *Guard) conflict(endpoint string, o point.Owner, r *store.Row, err error) error {
	var content row
	mine := json.Unmarshal(r.Value, &content) == nil && content.Owner == o && !content.Released
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stateLocked(endpoint)
	if mine {
		s.version = r.Version
		return err
	}
	s.owned = false
	return &hold.TakenError{Endpoint: endpoint}
}

// Release implements hold.Fencer. If the write is lost the next owner waits
// the term out.
func (g *Guard) Release(ctx context.Context, endpoint string, o point.Owner) {
	g.mu.Lock()
	s := g.stateLocked(endpoint)
	version := s.version
	s.owned = false
	g.mu.Unlock()
	_, _ = g.write(ctx, endpoint, version, row{Owner: o, Term: g.term, Released: true})
}
