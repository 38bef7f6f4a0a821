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

// Table accesses the platform's tables; *store.Client implements it.
type Table interface {
	Get(ctx context.Context, table, key string) (store.Row, error)
	Commit(ctx context.Context, ops []store.Op) error
}

// Clock reads a clock that advances while the process is suspended.
type Clock interface {
	Boot() time.Duration
}

// Others requests promises from all other placers of the zone.
type Others interface {
	// Promise reports whether all of them have promised not to take the
	// endpoint's term for the given time from now on.
	Promise(ctx context.Context, endpoint string, length time.Duration) bool
}

// Guard implements hold.Fencer. All methods may be called concurrently.
type Guard struct {
	table  Table
	clock  Clock
	others Others
	term   time.Duration

	mu     sync.Mutex // guards states and the fields of its values
	states map[string]*state
}

// state is what this placer knows of one endpoint's row.
type state struct {
	version       uint64        // of the row when last read or written
	firstSeen     time.Duration // when that version was first seen
	promisedUntil time.Duration // end of the last promise given to the owner
	taking        bool          // a write that takes the row is in progress
	owned         bool
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

// Promise promises another placer not to take the endpoint's term for the given
// time. It returns false, and promises nothing, if this placer has the term or
// may be taking it.
func (g *Guard) Promise(endpoint string, length time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stateLocked(endpoint)
	if s.taking || s.owned {
		return false
	}
	s.promisedUntil = max(s.promisedUntil, g.clock.Boot()+length+lease.Margin(length))
	return true
}

// Permit implements hold.Fencer.
func (g *Guard) Permit(ctx context.Context, endpoint string, o point.Owner) (lease.Term, bool) {
	if !g.beginTake(endpoint) {
		return lease.Term{}, false
	}
	term, ok := g.take(ctx, endpoint, o)
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stateLocked(endpoint)
	s.taking, s.owned = false, ok
	return term, ok
}

// beginTake reports whether the endpoint may be taken: no promise is in force
// and no other take is in progress. While it is being taken no promise is given.
func (g *Guard) beginTake(endpoint string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stateLocked(endpoint)
	if s.taking || g.clock.Boot() < s.promisedUntil {
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
	if version > 0 && !content.Released && !g.termElapsed(endpoint, version, content.Term) {
		return lease.Term{}, false
	}
	term, err := g.write(ctx, endpoint, version, row{Owner: o, Term: g.term})
	return term, err == nil
}

// termElapsed reports whether the row has been unchanged for a whole term.
func (g *Guard) termElapsed(endpoint string, version uint64, term time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stateLocked(endpoint)
	now := g.clock.Boot()
	if s.version != version {
		s.version, s.firstSeen = version, now
		return false
	}
	return now-s.firstSeen >= term+lease.Margin(term)
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

// write writes the row if it still has the given version. The term starts
// before the write is sent. If the answer is lost, write reads the row to find
// out whether it was written.
func (g *Guard) write(ctx context.Context, endpoint string, version uint64, content row) (lease.Term, error) {
	value, err := json.Marshal(&content)
	if err != nil {
		return lease.Term{}, err
	}
	sent := g.clock.Boot()
	op := store.Op{Table: tableName, Key: endpoint, Expect: version, Value: value, Action: store.Put}
	err = g.table.Commit(ctx, []store.Op{op})
	written := version + 1
	if err != nil {
		storedVersion, stored, readErr := g.read(ctx, endpoint)
		if readErr != nil || stored != content || storedVersion != version+1 {
			return lease.Term{}, err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stateLocked(endpoint)
	s.version, s.firstSeen = written, g.clock.Boot()
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

// conflict handles a version conflict. If the row was written by this owner,
// the answer of that write was lost, and its version is adopted; otherwise
// another placer has the term.
func (g *Guard) conflict(endpoint string, o point.Owner, r *store.Row, err error) error {
	var content row
	own := json.Unmarshal(r.Value, &content) == nil && content.Owner == o && !content.Released
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.stateLocked(endpoint)
	if own {
		s.version = r.Version
		return err
	}
	s.owned = false
	return &hold.TakenError{Endpoint: endpoint}
}

// Release implements hold.Fencer. If the write is lost, the next owner waits
// until the term has expired.
func (g *Guard) Release(ctx context.Context, endpoint string, o point.Owner) {
	g.mu.Lock()
	s := g.stateLocked(endpoint)
	version := s.version
	s.owned = false
	g.mu.Unlock()
	_, _ = g.write(ctx, endpoint, version, row{Owner: o, Term: g.term, Released: true})
}
