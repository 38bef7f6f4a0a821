package parts

import (
	"context"
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/balsamford/balsamford/coord/store"
	"github.com/balsamford/balsamford/coord/timer"
)

const team = "team"

// modelDims are the resources that the model limits at first.
var modelDims = DimsOf(Tasks, CPU, Accel)

// flaky is a Table whose calls fail before or after they take effect.
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

// model is a set of zones with holders, and the tasks that run.
type model struct {
	t         *rapid.T
	table     *flaky
	clock     *timer.Service
	created   int
	alive     []*member
	dead      []*member
	zones     []string
	asks      []sent
	grants    []sent
	noFaults  bool
	bound     Amount // what may run: the limit, or the previous one until the limit is accepted
	dims      Dims   // resources that are limited
	unlimited Dims   // resources that had no limit when some running task started
}

// member is a holder with what its tasks take.
type member struct {
	*Holder
	runs     Amount
	adopters []string // holders that adopted its tasks after its death
}

// sent is a message in transit: an ask, or a grant.
type sent struct {
	to    *member
	from  *member
	ask   Ask
	grant Grant
}

func newModel(t *rapid.T, limit Amount) *model {
	m := &model{
		t: t, table: &flaky{Table: store.New()}, clock: timer.New(timer.WithManual(time.Unix(0, 0))),
		zones: []string{"a", "b"}, bound: limit, dims: modelDims, unlimited: allDims &^ modelDims,
	}
	if _, err := SetLimit(context.Background(), m.table, team, Bound{limit, m.dims}, m.zones); err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		m.add(m.zones[i%2])
		_ = m.alive[i].Settle(context.Background(), m.table, team, Amount{int64(i % 3), int64(i % 2)})
	}
	return m
}

func (m *model) add(zone string) {
	m.created++
	h := New("h"+strconv.Itoa(m.created), zone, WithTimer(m.clock), WithLinger(time.Minute))
	h.Limit(map[string]Dims{team: m.dims})
	m.alive = append(m.alive, &member{Holder: h})
}

func (m *model) drawHolder() *member { return rapid.SampledFrom(m.alive).Draw(m.t, "holder") }

// peer draws another live holder of the zone, or returns nil.
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
	h, n := m.drawHolder(), m.drawAmount(1, Amount{6, 6, 0, 6})
	if h.Take(team, n) {
		h.runs = h.runs.Add(n)
	}
}

// takeAll makes every holder start as many tasks as it can.
func (m *model) takeAll() {
	for _, h := range m.alive {
		for i := range size {
			n := Amount{}
			n[i] = 1
			for m.dims.Has(i) && h.Take(team, n) {
				h.runs = h.runs.Add(n)
			}
		}
	}
}

func (m *model) end() {
	h := m.drawHolder()
	n := m.drawAmount(0, h.runs)
	h.Give(team, n)
	h.runs = h.runs.Sub(n)
}

func (m *model) passTasks() {
	h := m.drawHolder()
	if p := m.peer(h); p != nil && h.runs.Any() {
		n := m.drawAmount(1, h.runs)
		h.Pass(team, n, p.name)
		h.runs = h.runs.Sub(n)
		p.Adopt(team, n)
		p.runs = p.runs.Add(n)
	}
}

func (m *model) ask() {
	h := m.drawHolder()
	if p := m.peer(h); p != nil {
		m.asks = append(m.asks, sent{to: p, from: h, ask: h.Ask(p.name, team, m.drawAmount(0, Amount{8, 8, 0, 8}))})
	}
}

// deliver delivers any message sent so far, which may be a duplicate.
func (m *model) deliver() {
	if len(m.asks) > 0 && rapid.Bool().Draw(m.t, "ask") {
		s := rapid.SampledFrom(m.asks).Draw(m.t, "which")
		m.grants = append(m.grants, sent{to: s.from, grant: s.to.Serve(s.ask)})
		return
	}
	if len(m.grants) > 0 {
		s := rapid.SampledFrom(m.grants).Draw(m.t, "which")
		s.to.Accept(s.grant)
	}
}

func (m *model) settle() {
	h := m.drawHolder()
	m.drawFault()
	_ = h.Settle(context.Background(), m.table, team, Amount{2, 1})
	m.clearFault()
}

func (m *model) drawFault() {
	if m.noFaults {
		return
	}
	switch rapid.IntRange(0, 5).Draw(m.t, "fault") {
	case 0:
		m.table.before = true
	case 1:
		m.table.after = true
	}
}

func (m *model) clearFault() {
	m.table.before, m.table.after = false, false
	if ok, err := Accepted(context.Background(), m.table, team); err == nil && ok {
		a, _, _ := read(context.Background(), m.table, team)
		for i := range size {
			if !a.dims().Has(i) || !m.dims.Has(i) {
				continue
			}
			m.bound[i] = a.Limit[i]
			if m.covered(i) {
				m.unlimited &^= DimsOf(i)
			}
		}
	}
}

// crash kills a holder that has a peer in its zone and adds a new one.
func (m *model) crash() {
	h := m.drawHolder()
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

// removeDead makes live holders adopt a dead holder's tasks and removes it.
func (m *model) removeDead() {
	if len(m.dead) == 0 {
		return
	}
	d := m.dead[0]
	for d.runs.Any() {
		n := m.drawAmount(1, d.runs)
		p := m.peer(d)
		p.Adopt(team, n)
		p.runs = p.runs.Add(n)
		d.runs = d.runs.Sub(n)
		d.adopters = append(d.adopters, p.name)
	}
	m.drawFault()
	living := d.adopters
	for _, h := range m.alive {
		if h.zone == d.zone {
			living = append(living, h.name)
		}
	}
	err := RemoveHolder(context.Background(), m.table, team, d.zone, d.name, living)
	m.clearFault()
	m.dead = m.dead[1:]
	if err != nil { // an adopter may have to be removed first
		m.dead = append(m.dead, d)
	}
}

func (m *model) limit() {
	n := m.drawAmount(5, Amount{40, 40, 0, 40})
	m.bound = m.bound.max(n)
	if rapid.IntRange(0, 3).Draw(m.t, "change") == 0 {
		m.dims = rapid.SampledFrom([]Dims{modelDims, DimsOf(Tasks), DimsOf(Accel), DimsOf(Tasks, Accel)}).Draw(m.t, "dims")
	}
	m.unlimited |= allDims &^ m.dims
	for _, h := range m.alive {
		h.Limit(map[string]Dims{team: m.dims})
	}
	m.drawFault()
	_, _ = SetLimit(context.Background(), m.table, team, Bound{n, m.dims}, m.zones)
	m.clearFault()
}

func (m *model) wait() {
	m.clock.Advance(time.Duration(rapid.IntRange(1, 90).Draw(m.t, "seconds")) * time.Second)
}

// drawAmount draws an amount between least, or most if that is smaller, and most.
func (m *model) drawAmount(least int64, most Amount) Amount {
	var n Amount
	for i, high := range most {
		n[i] = rapid.Int64Range(min(least, high), high).Draw(m.t, resourceNames[i])
	}
	return n
}

// covered reports whether no holder runs more of a resource than its part. It
// may after a limit is introduced, because running tasks are not stopped then.
func (m *model) covered(i int) bool {
	for _, h := range m.dead {
		if h.runs[i] > 0 {
			return false
		}
	}
	for _, h := range m.alive {
		if part, used := h.Part(team); used[i] > max(part[i], 0) {
			return false
		}
	}
	return true
}

// check checks the invariant: neither what runs nor the sum of the parts exceeds
// the limit.
func (m *model) check(t *rapid.T) {
	var runs, sum Amount
	for _, h := range m.alive {
		part, _ := h.Part(team)
		sum = sum.Add(part)
		runs = runs.Add(h.runs)
	}
	for _, h := range m.dead {
		runs = runs.Add(h.runs)
	}
	strict := allDims &^ m.unlimited
	if strict.only(runs.Sub(m.bound)).Any() {
		a, _, _ := read(context.Background(), m.table, team)
		t.Fatalf("%d run, the limit is %d: %s", runs, m.bound, m.show(a))
	}
	if strict.only(sum.Sub(m.bound)).Any() {
		t.Fatalf("parts are %d, the limit is %d", sum, m.bound)
	}
}

// drain stops injecting faults, ends all tasks and settles until nothing changes.
func (m *model) drain() {
	m.noFaults = true
	for range 12 {
		for range m.dead {
			m.removeDead()
		}
		for _, h := range m.alive {
			h.Give(team, h.runs)
			h.runs = Amount{}
			if err := h.Settle(context.Background(), m.table, team, Amount{}); err != nil {
				m.t.Fatal(err)
			}
		}
		m.clock.Advance(time.Minute)
	}
	m.clearFault()
}

// checkRuns and repeatsPerCheck make the property's runs numerous and long enough
// to fail if any one of the mechanisms is missing.
const (
	checkRuns       = 5
	repeatsPerCheck = 4
)

func TestSumStaysUnderLimit(t *testing.T) {
	for range checkRuns {
		rapid.Check(t, checkRandomOps)
	}
}

func checkRandomOps(t *rapid.T) {
	m := newModel(t, Amount{Tasks: 20, CPU: 16, Accel: 12})
	for range repeatsPerCheck {
		t.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"take":    func(*rapid.T) { m.take() },
			"flood":   func(*rapid.T) { m.takeAll() },
			"trade":   func(*rapid.T) { m.ask(); m.deliver(); m.deliver() },
			"serve":   func(*rapid.T) { m.deliver() },
			"recover": func(*rapid.T) { m.settle(); m.removeDead() },
			"end":     func(*rapid.T) { m.end() },
			"move":    func(*rapid.T) { m.passTasks() },
			"ask":     func(*rapid.T) { m.ask() },
			"deliver": func(*rapid.T) { m.deliver() },
			"settle":  func(*rapid.T) { m.settle() },
			"crash":   func(*rapid.T) { m.crash() },
			"bury":    func(*rapid.T) { m.removeDead() },
			"limit":   func(*rapid.T) { m.limit() },
			"wait":    func(*rapid.T) { m.wait() },
		})
	}
	m.drain()
	a, _, err := read(context.Background(), m.table, team)
	if err != nil {
		t.Fatal(err)
	}
	if len(m.dead) > 0 {
		t.Fatalf("%d dead holders are not removed: %s %v: %s", len(m.dead), m.dead[0].name, m.dead[0].adopters, m.show(a))
	}
	if !a.Accepted() {
		t.Fatalf("limit %v isn't accepted, parts are %d: %s", a.Limit, a.Allocated(), m.show(a))
	}
	for name, z := range a.Zones {
		free, ok := z.slack()
		var held Amount
		for _, h := range m.alive {
			if h.zone == name {
				part, _ := h.Part(team)
				held = held.Add(part)
			}
		}
		if !ok || free.Add(held) != z.Part {
			t.Fatalf("zone %s leaks: part %d, held %d, free %d (%v)", name, z.Part, held, free, ok)
		}
	}
}

func TestTransfersAndClaims(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := store.New()
	clock := timer.New(timer.WithManual(time.Unix(0, 0)))
	_, err := SetLimit(ctx, table, team, AtMost(20), []string{"a", "b"})
	is.NoErr(err)
	h1, h2 := New("h1", "a", WithTimer(clock)), New("h2", "a", WithTimer(clock))
	far := New("h3", "b", WithTimer(clock))
	is.True(!h1.Take(team, Count(1))) // no part before the first Settle
	is.NoErr(h1.Settle(ctx, table, team, Count(9)))
	is.NoErr(h2.Settle(ctx, table, team, Amount{}))
	is.True(h1.Take(team, Count(1)))
	// Transfer inside the zone, without the platform.
	is.True(!h2.Take(team, Count(4)))
	ask := h2.Ask("h1", team, h2.Wants()[team])
	grant := h1.Serve(ask)
	is.Equal(h1.Serve(ask), grant) // as if the first answer was lost
	is.Equal(h2.Accept(grant), Count(4))
	is.Equal(h2.Accept(grant), Amount{})
	is.True(h2.Take(team, Count(4)))
	// Between zones, except for the standing part.
	is.True(!far.Take(team, Count(20)))
	is.NoErr(far.Settle(ctx, table, team, Amount{}))
	part, _ := far.Part(team)
	is.Equal(part, Count(10)) // zone a has 10 of 20 in use or standing
}

// show returns the account and the holders' states for failure messages.
func (m *model) show(a *Account) string {
	text := ""
	for name, z := range a.Zones {
		text += fmt.Sprintf("zone %s: %+v;", name, *z)
		for holder, e := range z.Holders {
			text += fmt.Sprintf(" %s: %+v;", holder, *e)
		}
	}
	for _, h := range m.alive {
		s := h.teamPart(team)
		text += fmt.Sprintf("\n%s: part %d used %d reserved %d returning %d deficit %d record %d round %d recorded %v joined %v in doubt %d", h.name, s.part, s.used, s.reserved, s.returning, s.deficit, s.record, s.round, s.recorded, s.joined, len(s.inDoubt))
	}
	return text
}

// What a holder reserves for passed tasks must not be granted for new work,
// because those tasks run above the part of the holder that adopted them.
func TestPassedPartCoversOnlyWhatRuns(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := store.New()
	clock := timer.New(timer.WithManual(time.Unix(0, 0)))
	_, err := SetLimit(ctx, table, team, AtMost(10), []string{"a"})
	is.NoErr(err)
	giver, successor, other := New("g", "a", WithTimer(clock)), New("h", "a", WithTimer(clock)), New("o", "a", WithTimer(clock))
	is.True(!giver.Take(team, Count(10)))
	for _, h := range []*Holder{giver, successor, other} {
		is.NoErr(h.Settle(ctx, table, team, Amount{}))
	}
	is.True(giver.Take(team, Count(10)))
	giver.Pass(team, Count(6), "h")
	successor.Adopt(team, Count(6))
	is.Equal(other.Accept(giver.Serve(other.Ask("g", team, Count(6)))), Amount{})
	is.Equal(successor.Wants()[team], Count(6))
	is.Equal(successor.Accept(giver.Serve(successor.Ask("g", team, Count(6)))), Count(6))
	is.True(!successor.Take(team, Count(1)))
}

// A holder without an entry in the row must not accept a transfer, because no
// record would include it.
func TestNoTransferBeforeJoining(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := store.New()
	_, err := SetLimit(ctx, table, team, AtMost(10), []string{"a"})
	is.NoErr(err)
	giver, late := New("g", "a"), New("l", "a")
	is.True(!giver.Take(team, Count(10)))
	is.NoErr(giver.Settle(ctx, table, team, Amount{}))
	ask := late.Ask("g", team, Count(5))
	ask.Round = 1
	late.teamPart(team).round = 1
	is.Equal(late.Accept(giver.Serve(ask)), Amount{})
}

// Tasks that ran and were passed on before a resource had a limit don't add to
// the limit that is set later.
func TestPassedBeforeLimit(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	table := store.New()
	clock := timer.New(timer.WithManual(time.Unix(0, 0)))
	giver, successor := New("g", "a", WithTimer(clock)), New("h", "a", WithTimer(clock))
	limit := func(b Bound) {
		_, err := SetLimit(ctx, table, team, b, []string{"a"})
		is.NoErr(err)
		giver.Limit(map[string]Dims{team: b.Dims})
		successor.Limit(map[string]Dims{team: b.Dims})
	}
	settle := func(h *Holder) { is.NoErr(h.Settle(ctx, table, team, Amount{})) }
	limit(AtMost(10))
	task := Amount{Tasks: 1, Accel: 5}
	is.True(!giver.Take(team, task))
	settle(giver)
	settle(successor)
	is.True(giver.Take(team, task))
	giver.Pass(team, task, "h")
	successor.Adopt(team, task)
	successor.Give(team, task)
	for range 4 {
		clock.Advance(2 * time.Minute)
		settle(giver)
		settle(successor)
	}
	both := AtMost(10)
	both.Set(Accel, 6)
	limit(both)
	for range 4 {
		is.True(!successor.Take(team, Amount{Tasks: 1, Accel: 7}))
		settle(successor)
	}
	is.True(successor.Take(team, Amount{Tasks: 1, Accel: 6}))
}

func TestAmountOnTheWire(t *testing.T) {
	tests := map[string]struct {
		amount Amount
		bytes  int
	}{
		"nothing":            {Amount{}, 1},
		"tasks as before":    {Count(100), 2},
		"tasks and memory":   {Amount{Tasks: 100, Mem: 1 << 40}, 13},
		"returned, negative": {Amount{Accel: -3}, 5},
		"all":                {Amount{1000, 1 << 20, 1 << 40, 8, 300}, 22},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := cbor.Marshal(tt.amount)
			is.NoErr(err)
			is.Equal(len(data), tt.bytes)
			var again Amount
			is.NoErr(cbor.Unmarshal(data, &again))
			is.Equal(again, tt.amount)
		})
	}
}

// The turn of a holder that collects parts ends after turnTimeout, even if it
// can't get all that it needs or is dead, so that other holders aren't blocked.
func TestTurnsEnd(t *testing.T) {
	tests := map[string]struct {
		runs, ends int64 // tasks of a third holder that run before the turn, and end in it; the limit is 12
		dead       bool
	}{
		"can't have it all": {6, 0, false},
		"dead":              {12, 12, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			table, clock := store.New(), timer.New(timer.WithManual(time.Unix(0, 0)))
			_, err := SetLimit(ctx, table, team, AtMost(12), []string{"a", "b", "c"})
			is.NoErr(err)
			first, next, busy := New("1", "a", WithTimer(clock)), New("2", "b", WithTimer(clock)), New("3", "c", WithTimer(clock))
			settle := func(h *Holder) { is.NoErr(h.Settle(ctx, table, team, Amount{})) }
			for !busy.Take(team, Count(tt.runs)) {
				settle(busy)
				clock.Advance(time.Second)
			}
			for range 10 {
				is.True(!first.Take(team, Count(8)))
				settle(first)
				clock.Advance(time.Second)
			}
			busy.Give(team, Count(tt.ends))
			at, started := clock.Boot(), false
			for !started && clock.Boot()-at < 3*turnTimeout {
				if !tt.dead {
					first.Take(team, Count(8))
					settle(first)
				}
				settle(busy)
				clock.Advance(time.Second)
				started = next.Take(team, Count(6))
				settle(next)
			}
			is.True(started)
			is.True(clock.Boot()-at > turnTimeout/2) // the first holder had its turn
		})
	}
}
