package parts

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
)

const team = "team"

// flaky loses calls before or after they take effect.
type flaky struct {
	Table
	before, after bool
}

func (f *flaky) Get(ctx context.Context, table, key string) (store.Row, error) {
	if f.before {
		return store.Row{}, &store.UnavailableError{Op: "get"}
	}
	return f.Table.Get(ctx, table, key)
}

func (f *flaky) Commit(ctx context.Context, ops []store.Op) error {
	if f.before {
		return &store.UnavailableError{Op: "commit"}
	}
	err := f.Table.Commit(ctx, ops)
	if f.after {
		return &store.UnavailableError{Op: "commit"}
	}
	return err
}

// model is a set of zones with holders, and what really runs.
type model struct {
	t     *rapid.T
	table *flaky
	clock *timer.Service
	made  int
	alive []*member
	dead  []*member
	zones []string
	asks  []sent
	gives []sent
	bound int64 // what may run: the limit, or the one before until accepted
}

type member struct {
	*Holder
	runs int64
}

type sent struct {
	to    *member
	from  *member
	ask   Ask
	grant Grant
}

func newModel(t *rapid.T, limit int64) *model {
	m := &model{
		t: t, table: &flaky{Table: store.New()}, clock: timer.New(timer.WithManual(time.Unix(0, 0))),
		zones: []string{"a", "b"}, bound: limit,
	}
	if _, err := SetLimit(context.Background(), m.table, team, limit, m.zones); err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		m.add(m.zones[i%2])
	}
	return m
}

func (m *model) add(zone string) {
	m.made++
	m.alive = append(m.alive, &member{Holder: New("h"+strconv.Itoa(m.made), zone, WithTimer(m.clock), WithLinger(time.Minute))})
}

func (m *model) pick() *member { return rapid.SampledFrom(m.alive).Draw(m.t, "holder") }

// peer returns another living holder of the zone, or nil.
func (m *model) peer(h *member) *member {
	var peers []*member
	for _, p := range m.alive {
		if p != h && p.zone == h.zone {
			peers = append(peers, p)
		}
	}
	if len(peers) == 0 {
		return nil
	}
	return rapid.SampledFrom(peers).Draw(m.t, "peer")
}

func (m *model) take() {
	h, n := m.pick(), rapid.Int64Range(1, 6).Draw(m.t, "n")
	if h.Take(team, n) {
		h.runs += n
	}
}

func (m *model) end() {
	h := m.pick()
	n := rapid.Int64Range(0, h.runs).Draw(m.t, "n")
	h.Give(team, n)
	h.runs -= n
}

func (m *model) move() {
	h := m.pick()
	if p := m.peer(h); p != nil && h.runs > 0 {
		n := rapid.Int64Range(1, h.runs).Draw(m.t, "n")
		h.Pass(team, n)
		h.runs -= n
		p.Adopt(team, n)
		p.runs += n
	}
}

func (m *model) ask() {
	h := m.pick()
	if p := m.peer(h); p != nil {
		m.asks = append(m.asks, sent{to: p, from: h, ask: h.Ask(p.name, team, rapid.Int64Range(0, 8).Draw(m.t, "n"))})
	}
}

// deliver takes any message, which may come again later.
func (m *model) deliver() {
	if len(m.asks) > 0 && rapid.Bool().Draw(m.t, "ask") {
		s := rapid.SampledFrom(m.asks).Draw(m.t, "which")
		m.gives = append(m.gives, sent{to: s.from, grant: s.to.Serve(s.ask)})
		return
	}
	if len(m.gives) > 0 {
		s := rapid.SampledFrom(m.gives).Draw(m.t, "which")
		s.to.Accept(s.grant)
	}
}

func (m *model) settle() {
	h := m.pick()
	m.fault()
	_ = h.Settle(context.Background(), m.table, team, 2)
	m.heal()
}

func (m *model) fault() {
	switch rapid.IntRange(0, 5).Draw(m.t, "fault") {
	case 0:
		m.table.before = true
	case 1:
		m.table.after = true
	}
}

func (m *model) heal() {
	m.table.before, m.table.after = false, false
	if ok, err := Accepted(context.Background(), m.table, team); err == nil && ok {
		a, _, _ := read(context.Background(), m.table, team)
		m.bound = a.Limit
	}
}

// crash stops a holder that has a peer in its zone.
func (m *model) crash() {
	h := m.pick()
	if m.peer(h) == nil {
		return
	}
	for i, other := range m.alive {
		if other == h {
			m.alive = append(m.alive[:i], m.alive[i+1:]...)
		}
	}
	m.dead = append(m.dead, h)
	m.add(h.zone)
}

// bury hands a dead holder's tasks to living ones and buries it.
func (m *model) bury() {
	if len(m.dead) == 0 {
		return
	}
	d := m.dead[0]
	for d.runs > 0 {
		n := rapid.Int64Range(1, d.runs).Draw(m.t, "n")
		p := m.peer(d)
		p.Adopt(team, n)
		p.runs += n
		d.runs -= n
	}
	m.fault()
	err := Bury(context.Background(), m.table, team, d.zone, d.name)
	m.heal()
	if err == nil {
		m.dead = m.dead[1:]
	}
}

func (m *model) limit() {
	n := rapid.Int64Range(5, 40).Draw(m.t, "limit")
	m.bound = max(m.bound, n)
	m.fault()
	_, _ = SetLimit(context.Background(), m.table, team, n, m.zones)
	m.heal()
}

func (m *model) wait() {
	m.clock.Advance(time.Duration(rapid.IntRange(1, 90).Draw(m.t, "seconds")) * time.Second)
}

// check is the promise.
func (m *model) check(t *rapid.T) {
	var runs, sum int64
	for _, h := range m.alive {
		part, _ := h.Part(team)
		sum += part
		runs += h.runs
	}
	for _, h := range m.dead {
		runs += h.runs
	}
	if runs > m.bound {
		t.Fatalf("%d tasks run, the limit is %d", runs, m.bound)
	}
	if sum > m.bound {
		t.Fatalf("parts are %d, the limit is %d", sum, m.bound)
	}
}

// drain ends everything, heals and settles until nothing changes.
func (m *model) drain() {
	for len(m.dead) > 0 {
		m.bury()
	}
	for range 8 {
		for _, h := range m.alive {
			h.Give(team, h.runs)
			h.runs = 0
			if err := h.Settle(context.Background(), m.table, team, 0); err != nil {
				m.t.Fatal(err)
			}
		}
		m.clock.Advance(time.Minute)
	}
	m.heal()
}

func TestSumStaysUnderLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t, 20)
		t.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"take":    func(*rapid.T) { m.take() },
			"end":     func(*rapid.T) { m.end() },
			"move":    func(*rapid.T) { m.move() },
			"ask":     func(*rapid.T) { m.ask() },
			"deliver": func(*rapid.T) { m.deliver() },
			"settle":  func(*rapid.T) { m.settle() },
			"crash":   func(*rapid.T) { m.crash() },
			"bury":    func(*rapid.T) { m.bury() },
			"limit":   func(*rapid.T) { m.limit() },
			"wait":    func(*rapid.T) { m.wait() },
		})
		m.drain()
		a, _, err := read(context.Background(), m.table, team)
		if err != nil {
			t.Fatal(err)
		}
		if !a.Accepted() {
			t.Fatalf("limit %d isn't accepted, parts are %d", a.Limit, a.Handed())
		}
		for name, z := range a.Zones {
			free, ok := z.slack()
			var held int64
			for _, h := range m.alive {
				if h.zone == name {
					part, _ := h.Part(team)
					held += part
				}
			}
			if !ok || free+held != z.Part {
				t.Fatalf("zone %s leaks: part %d, held %d, free %d (%v)", name, z.Part, held, free, ok)
			}
		}
	})
}

func TestMoves(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := store.New()
	clock := timer.New(timer.WithManual(time.Unix(0, 0)))
	_, err := SetLimit(ctx, table, team, 20, []string{"a", "b"})
	is.NoErr(err)
	h1, h2 := New("h1", "a", WithTimer(clock)), New("h2", "a", WithTimer(clock))
	far := New("h3", "b", WithTimer(clock))
	is.True(!h1.Take(team, 1)) // nothing before the row was read
	is.NoErr(h1.Settle(ctx, table, team, 9))
	is.NoErr(h2.Settle(ctx, table, team, 0))
	is.True(h1.Take(team, 1))
	// Inside the zone, without the platform.
	is.True(!h2.Take(team, 4))
	ask := h2.Ask("h1", team, h2.Wants()[team])
	grant := h1.Serve(ask)
	is.Equal(h1.Serve(ask), grant) // the answer was lost
	is.Equal(h2.Accept(grant), int64(4))
	is.Equal(h2.Accept(grant), int64(0))
	is.True(h2.Take(team, 4))
	// Between zones, but not the standing part.
	is.True(!far.Take(team, 20))
	is.NoErr(far.Settle(ctx, table, team, 0))
	part, _ := far.Part(team)
	is.Equal(part, int64(10)) // zone a has 10 of 20 in use or standing
}
